// Many small records kept in few durable ones. Each item is in one page; a page is written whole,
// so that however many of its items are new or changed, they cost one change.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/model/types.h"

namespace badgershore {

class Pages {
 public:
  struct Page {
    std::string key;
    uint64_t stamp = 0;  // its version; 0: not there
    std::set<std::string> items;
    size_t bytes = 0;
    bool dirty = false;
    bool urgent = false;  // something waits for it
    bool writing = false;
    bool unsure = false;  // its version has to be read before it can be written again
    Micros since;         // dirty since then
  };

  // `room`: most bytes of items in a page.
  Pages(std::string prefix, size_t room) : prefix_(std::move(prefix)), room_(room) {}

  // A page that the state service has.
  Page* Adopt(const std::string& key, uint64_t stamp);
  // An item that a page that was read holds.
  void Hold(Page* page, const std::string& item, size_t bytes);
  // A new item, or one that has changed; its page is to be written.
  Page* Put(const std::string& item, size_t bytes, bool urgent, Micros now);
  void Touch(Page* page, bool urgent, Micros now);
  void Drop(const std::string& item, Micros now);

  // The page that has waited longest, among the urgent ones or those dirty for `patience`; null
  // when there is none.
  Page* Next(bool urgent, Micros now, Micros patience);
  void Sent(Page* page);
  void Written(Page* page, uint64_t stamp);
  // Not written, or perhaps written (`unsure`: its version is read before it is written again).
  void Failed(Page* page, bool unsure, bool urgent, Micros now);

 private:
  struct Place {
    Page* page = nullptr;
    size_t bytes = 0;
  };
  std::string prefix_;
  size_t room_;
  std::vector<std::unique_ptr<Page>> pages_;
  std::map<std::string, Place> where_;
  std::set<std::string> names_;
};

}  // namespace badgershore
