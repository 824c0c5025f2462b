#include "core/model/paged_records.h"

#include <algorithm>
#include <utility>

namespace badgershore {

void PagedRecords::SetLimits(PageLimits limits, size_t preferred_page_bytes) {
  limits_ = limits;
  preferred_page_bytes_ = std::min(limits.page_bytes, preferred_page_bytes);
}

PagedRecords::Page* PagedRecords::AddExisting(const std::string& key, uint64_t version) {
  auto page = std::make_unique<Page>();
  page->key = key;
  page->version = version;
  keys_.insert(key);
  pages_.push_back(std::move(page));
  return pages_.back().get();
}

// A page that is too large was being divided, so its items stay in the pages that they were moved
// to. Otherwise the page that was read first keeps the item. In both cases the page that keeps it
// is written first, since its copy may be the older one.
PagedRecords::Page* PagedRecords::AddItem(Page* page, const std::string& item, size_t bytes,
                                          Micros now) {
  page->loaded_bytes += bytes;
  const auto [it, added] = locations_.emplace(item, Location{page, bytes});
  if (added) {
    page->items.insert(item);
    page->bytes += bytes;
    return page;
  }
  Page* holder = it->second.page;
  if (holder == page) return page;
  if (holder->loaded_bytes > limits_.page_bytes) {
    Move(item, page, now);
    return page;
  }
  AddSource(holder, page);
  MarkDirty(holder, false, now);
  MarkDirty(page, false, now);
  return holder;
}

PagedRecords::Page* PagedRecords::PutItem(const std::string& item, size_t bytes, bool urgent,
                                          Micros now) {
  Page* page = nullptr;
  const auto it = locations_.find(item);
  if (it != locations_.end()) {
    page = it->second.page;
  } else {
    page = FindPageWithRoom(bytes);
    if (!page) page = EmptyPage();
    locations_.emplace(item, Location{page, bytes});
    page->items.insert(item);
    page->bytes += bytes;
  }
  MarkDirty(page, urgent, now);
  return page;
}

// Prefers an urgent page, which will be written anyway, so that another item adds no write. Among
// equals it takes the fullest page.
PagedRecords::Page* PagedRecords::FindPageWithRoom(size_t bytes) const {
  Page* best = nullptr;
  for (const auto& page : pages_) {
    if (page->bytes + bytes > preferred_page_bytes_) continue;
    if (page->refused || page->unsent_targets > 0) continue;
    if (!best ||
        std::make_pair(page->urgent, page->bytes) > std::make_pair(best->urgent, best->bytes)) {
      best = page.get();
    }
  }
  return best;
}

// A page without items that can be written at once.
PagedRecords::Page* PagedRecords::EmptyPage() {
  for (const auto& page : pages_) {
    if (page->items.empty() && page->unsent_targets == 0 && !page->write_in_flight &&
        !page->version_unknown && !page->refused) {
      return page.get();
    }
  }
  return AddPage();
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
  if (page->items.empty()) ReleaseSources(page);
  MarkDirty(page, false, now);
}

void PagedRecords::MarkDirty(Page* page, bool urgent, Micros now) {
  if (!page->dirty) page->dirty_since = now;
  page->dirty = true;
  page->refused = false;
  page->urgent |= urgent;
}

bool PagedRecords::Fits(const Page& page, const PageLimits& limits) {
  return page.bytes <= (page.items.size() <= 1 ? limits.item_bytes : limits.page_bytes);
}

bool PagedRecords::CanDivide(const Page& page, const PageLimits& limits) const {
  if (page.items.size() < 2) return false;
  return std::any_of(page.items.begin(), page.items.end(), [&](const std::string& item) {
    return locations_.at(item).bytes <= limits.item_bytes;
  });
}

bool PagedRecords::IsWritable(const Page& page) const {
  if (!page.dirty || page.write_in_flight || page.version_unknown || page.refused) return false;
  if (page.unsent_targets > 0) return false;
  if (page.items.empty() && page.version == 0) return false;  // never written and empty
  return Fits(page, limits_) || CanDivide(page, limits_);
}

PagedRecords::Page* PagedRecords::OldestDirty(bool urgent, Micros now, Micros delay) const {
  Page* oldest = nullptr;
  for (const auto& page : pages_) {
    if (!page->dirty || (oldest && page->dirty_since >= oldest->dirty_since)) continue;
    if (urgent ? !page->urgent : now - page->dirty_since < delay) continue;
    if (IsWritable(*page)) oldest = page.get();
  }
  return oldest;
}

PagedRecords::Page* PagedRecords::NextToWrite(bool urgent, Micros now, Micros delay) {
  Page* page = OldestDirty(urgent, now, delay);
  while (page && !Fits(*page, limits_)) {
    Divide(page, limits_, now);
    page = OldestDirty(urgent, now, delay);
  }
  return page;
}

// Items that no page can hold stay where they are, so that the others can be written.
std::vector<std::vector<std::string>> PagedRecords::Partition(const Page& page,
                                                              const PageLimits& limits) const {
  std::vector<std::vector<std::string>> parts(1);
  const auto bytes_of = [this](const std::string& item) { return locations_.at(item).bytes; };
  for (const std::string& item : page.items) {
    if (bytes_of(item) > limits.item_bytes) parts[0].push_back(item);
  }
  bool is_full = !parts[0].empty();
  size_t bytes = 0;
  for (const std::string& item : page.items) {
    if (bytes_of(item) > limits.item_bytes) continue;
    if (is_full || (bytes > 0 && bytes + bytes_of(item) > limits.page_bytes)) {
      parts.emplace_back();
      is_full = false;
      bytes = 0;
    }
    parts.back().push_back(item);
    bytes += bytes_of(item);
  }
  return parts;
}

void PagedRecords::Divide(Page* page, const PageLimits& limits, Micros now) {
  const std::vector<std::vector<std::string>> parts = Partition(*page, limits);
  MarkDirty(page, false, now);
  for (size_t i = 1; i < parts.size(); ++i) {
    Page* target = EmptyPage();
    for (const std::string& item : parts[i]) Move(item, target, now);
    target->urgent |= page->urgent;
    target->dirty_since = std::min(target->dirty_since, page->dirty_since);
  }
}

void PagedRecords::Move(const std::string& item, Page* target, Micros now) {
  Location& location = locations_.at(item);
  Page* source = location.page;
  source->items.erase(item);
  source->bytes -= location.bytes;
  // What waited for the source now waits for the target, which has its last item.
  if (source->items.empty()) {
    for (Page* waiting : source->unsent_sources) {
      if (waiting != target) AddSource(target, waiting);
    }
    ReleaseSources(source);
  }
  target->items.insert(item);
  target->bytes += location.bytes;
  location.page = target;
  AddSource(target, source);
  MarkDirty(source, false, now);
  MarkDirty(target, false, now);
  on_moved_(item, target);
}

void PagedRecords::AddSource(Page* target, Page* source) {
  if (target->unsent_sources.insert(source).second) ++source->unsent_targets;
}

void PagedRecords::ReleaseSources(Page* page) {
  for (Page* source : std::exchange(page->unsent_sources, {})) --source->unsent_targets;
}

void PagedRecords::OnSent(Page* page) {
  page->dirty = page->urgent = false;
  page->write_in_flight = true;
  page->sent_sources = page->unsent_sources;
  ReleaseSources(page);
}

void PagedRecords::OnWritten(Page* page, uint64_t version) {
  page->write_in_flight = false;
  page->version = version;
  page->sent_sources.clear();
}

void PagedRecords::OnFailed(Page* page, bool version_unknown, bool urgent, Micros now) {
  page->write_in_flight = false;
  page->version_unknown = version_unknown;
  for (Page* source : std::exchange(page->sent_sources, {})) AddSource(page, source);
  if (page->items.empty()) ReleaseSources(page);
  MarkDirty(page, urgent, now);
}

void PagedRecords::OnRefused(Page* page, Micros now) {
  if (page->items.size() > 1) {
    return Divide(page, {page->bytes / 2, limits_.item_bytes}, now);
  }
  page->refused = true;
  ReleaseSources(page);
}

bool PagedRecords::DivideAhead(PageLimits limits, size_t max_pages, Micros now) {
  for (const auto& page : pages_) {
    if (Fits(*page, limits) || !CanDivide(*page, limits)) continue;
    if (page->write_in_flight || page->version_unknown || page->refused) continue;
    if (page->unsent_targets > 0 || Partition(*page, limits).size() > max_pages) continue;
    Divide(page.get(), limits, now);
    return true;
  }
  return false;
}

size_t PagedRecords::CountUnwritable() const {
  return static_cast<size_t>(std::count_if(pages_.begin(), pages_.end(), [this](const auto& page) {
    if (!page->dirty || page->items.empty()) return false;
    return page->refused || (!Fits(*page, limits_) && !CanDivide(*page, limits_));
  }));
}

}  // namespace badgershore
