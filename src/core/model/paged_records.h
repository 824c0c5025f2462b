// Packs many small records (items) into a few durable records (pages). A page is always written
// whole, so any number of new or changed items in it costs one mutation.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/model/types.h"

namespace badgershore {

// Largest size of a page's items. Larger pages, written under earlier limits, stay stored until
// they change; then they are divided.
struct PageLimits {
  size_t page_bytes = 0;  // of all items together
  size_t item_bytes = 0;  // of an item that is alone in its page; larger ones can't be written
};

// Tracks which item is in which page, and which pages must be written. The caller keeps the items'
// contents, writes the pages and reports the results.
//
// When items move to another page, that page is written first, or in the same transaction. Until
// the page that they left is written too, the state service holds them twice. So an item counts as
// long as any stored page has it, and it is removed once none has: an item that is removed from its
// page is still in the page that it left, which is written as soon as that is allowed.
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
    bool refused = false;          // the state service refused it; not sent again until it changes
    Micros dirty_since;
    size_t loaded_bytes = 0;  // size of the items that the durable record held when it was read

    // Pages from which items were moved here since this page was last sent, and before that. They
    // must not be written until this page is.
    std::set<Page*> unsent_sources, sent_sources;
    int unsent_targets = 0;  // pages that have this one among their unsent sources
  };
  // Called for each item that has been moved to another page.
  using OnMoved = std::function<void(const std::string& item, Page* page)>;

  // A page's key is the prefix followed by a number.
  PagedRecords(std::string key_prefix, PageLimits limits, OnMoved on_moved)
      : key_prefix_(std::move(key_prefix)),
        limits_(limits),
        preferred_page_bytes_(limits.page_bytes),
        on_moved_(std::move(on_moved)) {}

  // `preferred_page_bytes`: size up to which new items are added to a page, at most that of the
  // limits.
  void SetLimits(PageLimits limits, size_t preferred_page_bytes);

  // Adds a page that exists in the state service, without its items. Pages are owned by this object
  // and never removed.
  Page* AddExisting(const std::string& key, uint64_t version);
  // Adds an item to such a page and returns its page. An item that is also in a page that was added
  // earlier was being moved when the leader changed: it stays in one of them, and the other one is
  // written without it.
  Page* AddItem(Page* page, const std::string& item, size_t bytes, Micros now);
  // Adds or changes an item and marks its page as dirty.
  Page* PutItem(const std::string& item, size_t bytes, bool urgent, Micros now);
  // Removes the item and marks its page as dirty. Unknown items are ignored.
  void RemoveItem(const std::string& item, Micros now);
  void MarkDirty(Page* page, bool urgent, Micros now);

  // The page that has been dirty for the longest time: with `urgent` among the urgent pages,
  // without it among those that have been dirty for at least `delay`. Null if there is none. Pages
  // that exceed the limits are divided first.
  Page* NextToWrite(bool urgent, Micros now, Micros delay);
  void OnSent(Page* page);
  // `version`: 0 if the page was deleted.
  void OnWritten(Page* page, uint64_t version);
  // The page was not written or, with `version_unknown`, may have been written.
  void OnFailed(Page* page, bool version_unknown, bool urgent, Micros now);
  // The state service refuses the page even on its own, whatever its size. The page is divided
  // further; a page with one item is not written before it changes.
  void OnRefused(Page* page, Micros now);

  // Divides one page that exceeds `limits`, if at most `max_pages` pages would have to be written
  // for that. Returns whether there was one.
  bool DivideAhead(PageLimits limits, size_t max_pages, Micros now);
  // Pages that have changes that can't be written.
  size_t CountUnwritable() const;

 private:
  struct Location {
    Page* page = nullptr;
    size_t bytes = 0;
  };
  static bool Fits(const Page& page, const PageLimits& limits);
  bool CanDivide(const Page& page, const PageLimits& limits) const;
  // Whether the page may be written now, once divided if it is too large.
  bool IsWritable(const Page& page) const;
  // Which items of the page stay in it, and which go to each of the pages that are to be added.
  std::vector<std::vector<std::string>> Partition(const Page& page, const PageLimits& limits) const;
  void Divide(Page* page, const PageLimits& limits, Micros now);
  void Move(const std::string& item, Page* target, Micros now);
  static void AddSource(Page* target, Page* source);
  // The page holds nothing any more that its sources have to wait for.
  static void ReleaseSources(Page* page);

  Page* OldestDirty(bool urgent, Micros now, Micros delay) const;
  Page* FindPageWithRoom(size_t bytes) const;
  Page* EmptyPage();
  Page* AddPage();

  std::string key_prefix_;
  PageLimits limits_;
  size_t preferred_page_bytes_;
  OnMoved on_moved_;
  std::vector<std::unique_ptr<Page>> pages_;
  std::map<std::string, Location> locations_;  // by item
  std::set<std::string> keys_;
};

}  // namespace badgershore
