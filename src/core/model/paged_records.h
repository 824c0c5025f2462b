// Packs many small records (items) into a few durable records (pages). A page is always written
// whole, so any number of new or changed items in it costs one mutation.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/model/types.h"

namespace badgershore {

// Tracks which item is in which page, and which pages must be written. The caller keeps the items'
// contents, writes the pages and reports the results.
class PagedRecords {
 public:
  struct Page {
    std::string key;
    uint64_t version = 0;  // of the durable record; 0 if it does not exist
    std::set<std::string> items;
    size_t bytes = 0;
    bool dirty = false;
    bool urgent = false;  // other work waits for this page to be written
    bool write_in_flight = false;
    bool version_unknown = false;  // must not be written until its version has been read
    Micros dirty_since;
  };

  // A page's key is the prefix followed by a number. `max_page_bytes`: maximum total size of the
  // items in a page.
  PagedRecords(std::string key_prefix, size_t max_page_bytes)
      : key_prefix_(std::move(key_prefix)), max_page_bytes_(max_page_bytes) {}

  // Adds a page that exists in the state service, without its items. Pages are owned by this object
  // and never removed.
  Page* AddExisting(const std::string& key, uint64_t version);
  // Adds an item to such a page. Ignored if the item is already in a page.
  void AddItem(Page* page, const std::string& item, size_t bytes);
  // Adds or changes an item and marks its page as dirty.
  Page* PutItem(const std::string& item, size_t bytes, bool urgent, Micros now);
  // Removes the item and marks its page as dirty. Unknown items are ignored.
  void RemoveItem(const std::string& item, Micros now);
  void MarkDirty(Page* page, bool urgent, Micros now);

  // The page that has been dirty for the longest time: with `urgent` among the urgent pages,
  // without it among those that have been dirty for at least `delay`. Null if there is none.
  Page* NextToWrite(bool urgent, Micros now, Micros delay);
  void OnSent(Page* page);
  // `version`: 0 if the page was deleted.
  void OnWritten(Page* page, uint64_t version);
  // The page was not written or, with `version_unknown`, may have been written.
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
