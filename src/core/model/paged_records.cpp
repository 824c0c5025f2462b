#include "core/model/paged_records.h"

#include <utility>

namespace badgershore {

PagedRecords::Page* PagedRecords::AddExisting(const std::string& key, uint64_t version) {
  auto page = std::make_unique<Page>();
  page->key = key;
  page->version = version;
  keys_.insert(key);
  pages_.push_back(std::move(page));
  return pages_.back().get();
}

void PagedRecords::AddItem(Page* page, const std::string& item, size_t bytes) {
  if (!locations_.emplace(item, Location{page, bytes}).second) return;
  page->items.insert(item);
  page->bytes += bytes;
}

PagedRecords::Page* PagedRecords::PutItem(const std::string& item, size_t bytes, bool urgent,
                                          Micros now) {
  Page* page = nullptr;
  const auto it = locations_.find(item);
  if (it != locations_.end()) {
    page = it->second.page;
  } else {
    page = FindPageWithRoom(bytes);
    if (!page) page = AddPage();
    AddItem(page, item, bytes);
  }
  MarkDirty(page, urgent, now);
  return page;
}

// Prefers an urgent page, which will be written anyway, so that another item adds no write. Among
// equals it takes the fullest page.
PagedRecords::Page* PagedRecords::FindPageWithRoom(size_t bytes) const {
  Page* best = nullptr;
  for (const auto& page : pages_) {
    if (page->bytes + bytes > max_page_bytes_) continue;
    if (!best ||
        std::make_pair(page->urgent, page->bytes) > std::make_pair(best->urgent, best->bytes)) {
      best = page.get();
    }
  }
  return best;
}

PagedRecords::Page* PagedRecords::AddPage() {
  std::string key;
  for (size_t n = 0; key.empty() || keys_.contains(key); ++n) {
    key = key_prefix_ + std::to_string(n);
  }
  return AddExisting(key, 0);
}

void PagedRecords::RemoveItem(const std::string& item, Micros now) {
  const auto it = locations_.find(item);
  if (it == locations_.end()) return;
  Page* page = it->second.page;
  page->items.erase(item);
  page->bytes -= it->second.bytes;
  locations_.erase(it);
  MarkDirty(page, false, now);
}

void PagedRecords::MarkDirty(Page* page, bool urgent, Micros now) {
  if (!page->dirty) page->dirty_since = now;
  page->dirty = true;
  page->urgent |= urgent;
}

PagedRecords::Page* PagedRecords::NextToWrite(bool urgent, Micros now, Micros delay) {
  Page* oldest = nullptr;
  for (const auto& page : pages_) {
    if (!page->dirty || page->write_in_flight || page->version_unknown) continue;
    if (page->items.empty() && page->version == 0) continue;  // never written and empty
    if (urgent ? !page->urgent : now - page->dirty_since < delay) continue;
    if (!oldest || page->dirty_since < oldest->dirty_since) oldest = page.get();
  }
  return oldest;
}

void PagedRecords::OnSent(Page* page) {
  page->dirty = page->urgent = false;
  page->write_in_flight = true;
}

void PagedRecords::OnWritten(Page* page, uint64_t version) {
  page->write_in_flight = false;
  page->version = version;
}

void PagedRecords::OnFailed(Page* page, bool version_unknown, bool urgent, Micros now) {
  page->write_in_flight = false;
  page->version_unknown = version_unknown;
  MarkDirty(page, urgent, now);
}

}  // namespace badgershore
