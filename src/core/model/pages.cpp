#include "core/model/pages.h"

namespace badgershore {

Pages::Page* Pages::Adopt(const std::string& key, uint64_t stamp) {
  auto page = std::make_unique<Page>();
  page->key = key;
  page->stamp = stamp;
  names_.insert(key);
  pages_.push_back(std::move(page));
  return pages_.back().get();
}

void Pages::Hold(Page* page, const std::string& item, size_t bytes) {
  if (!where_.emplace(item, Place{page, bytes}).second) return;
  page->items.insert(item);
  page->bytes += bytes;
}

Pages::Page* Pages::Put(const std::string& item, size_t bytes, bool urgent, Micros now) {
  Page* page = nullptr;
  auto it = where_.find(item);
  if (it != where_.end()) {
    page = it->second.page;
  } else {
    // One that is to be written anyway costs nothing more; else the fullest that has room.
    for (auto& p : pages_) {
      if (p->bytes + bytes > room_) continue;
      if (!page ||
          std::make_pair(p->urgent, p->bytes) > std::make_pair(page->urgent, page->bytes)) {
        page = p.get();
      }
    }
    if (!page) {
      std::string key;
      for (size_t n = 0; key.empty() || names_.count(key); ++n) key = prefix_ + std::to_string(n);
      page = Adopt(key, 0);
    }
    Hold(page, item, bytes);
  }
  Touch(page, urgent, now);
  return page;
}

void Pages::Touch(Page* page, bool urgent, Micros now) {
  if (!page->dirty) page->since = now;
  page->dirty = true;
  page->urgent |= urgent;
}

void Pages::Drop(const std::string& item, Micros now) {
  auto it = where_.find(item);
  if (it == where_.end()) return;
  Page* page = it->second.page;
  page->items.erase(item);
  page->bytes -= it->second.bytes;
  where_.erase(it);
  Touch(page, false, now);
}

Pages::Page* Pages::Next(bool urgent, Micros now, Micros patience) {
  Page* best = nullptr;
  for (auto& p : pages_) {
    if (!p->dirty || p->writing || p->unsure) continue;
    if (p->items.empty() && p->stamp == 0) continue;  // never written, nothing to write
    if (urgent ? !p->urgent : now - p->since < patience) continue;
    if (!best || p->since < best->since) best = p.get();
  }
  return best;
}

void Pages::Sent(Page* page) {
  page->dirty = page->urgent = false;
  page->writing = true;
}

void Pages::Written(Page* page, uint64_t stamp) {
  page->writing = false;
  page->stamp = stamp;
}

void Pages::Failed(Page* page, bool unsure, bool urgent, Micros now) {
  page->writing = false;
  page->unsure = unsure;
  Touch(page, urgent, now);
}

}  // namespace badgershore
