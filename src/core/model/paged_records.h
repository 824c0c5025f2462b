// Many small records kept in few durable ones. Each item is in one page; a page is written whole,
// so that however many of its items are new or changed, they cost one mutation.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/model/types.h"

namespace badgershore {

// Which item is in which page, and which pages are to be written. The caller keeps the items'
// contents, writes the pages, and says how that went.
class PagedRecords {
 public:
  struct Page {
    std::string key;
    uint64_t version = 0;  // of the durable record; 0: there is none
    std::set<std::string> items;
    size_t bytes = 0;
    bool dirty = false;
    bool urgent = false;  // something waits for it to be written
    bool write_in_flight = false;
    bool version_unknown = false;  // not written again before its version has been read
    Micros dirty_since;
  };

  // Keys are the prefix and a number. `max_page_bytes`: of the items in a page.
  PagedRecords(std::string key_prefix, size_t max_page_bytes)
      : key_prefix_(std::move(key_prefix)), max_page_bytes_(max_page_bytes) {}

  // A page that the state service holds, without its items. Pages live as long as this.
  Page* AddExisting(const std::string& key, uint64_t version);
  // An item of such a page. Ignored when the item is in another one already.
  void AddItem(Page* page, const std::string& item, size_t bytes);
  // An item that is new or has changed. Its page is to be written.
  Page* PutItem(const std::string& item, size_t bytes, bool urgent, Micros now);
  // The page is to be written without the item. Unknown items are ignored.
  void RemoveItem(const std::string& item, Micros now);
  void MarkDirty(Page* page, bool urgent, Micros now);

  // The page that has been dirty for longest, among the urgent ones, or else among those dirty for
  // at least `delay`; null when there is none.
  Page* NextToWrite(bool urgent, Micros now, Micros delay);
  void OnSent(Page* page);
  // `version`: 0 when the page was deleted.
  void OnWritten(Page* page, uint64_t version);
  // Not written, or perhaps written when `version_unknown`.
  void OnFailed(Page* page, bool version_unknown, bool urgent, Micros now);

 private:
  struct Location {
    Page* page = nullptr;
    size_t bytes = 0;
  };
  Page* FindPageWithRoom(size_t bytes) const;
  Page* AddPage();

  std::string key_prefix_;
  size_t max_page_bytes_;
  std::vector<std::unique_ptr<Page>> pages_;
  std::map<std::string, Location> locations_;  // by item
  std::set<std::string> keys_;
};

}  // namespace badgershore
