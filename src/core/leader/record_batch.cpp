#include "core/leader/record_batch.h"

#include <algorithm>
#include <utility>

#include "core/model/record_size.h"

namespace badgershore {
namespace {

// The protocol's limit for a transaction is 64 KiB. Leaves room for its preconditions.
constexpr size_t kMaxTransactionBytes = 60 * 1024;

}  // namespace

RecordBatch::RecordBatch(uint64_t term_version) {
  request.kind = StateRequest::Kind::kCompareAndSwap;
  request.preconditions.push_back({keys::kTerm, term_version});
}

bool RecordBatch::HasRoom(const StateLimits& limits, const WriteBudget& budget,
                          size_t record_mutations, size_t record_bytes) const {
  const size_t mutations = request.mutations.size() + record_mutations;
  if (!budget.Admits(mutations)) return false;
  if (empty()) return true;
  return mutations <= limits.mutations() && total_bytes + record_bytes <= kMaxTransactionBytes;
}

void RecordBatch::CountValue(const std::string& key, size_t bytes) {
  ++size.records;
  total_bytes += bytes;
  if (bytes <= size.largest_value_bytes) return;
  size.largest_value_bytes = bytes;
  size.largest_key = key;
}

void RecordBatch::AddRecord(const std::string& key, Record value) {
  CountValue(key, MaxRecordBytes(value));
  request.mutations.push_back({key, false, std::move(value), 0});
}

void RecordBatch::AddJobEnd(const Job& job) {
  const std::string& id = job.spec.id;
  request.preconditions.push_back({keys::kJob + id, job.version});
  request.preconditions.push_back({keys::kJobEnd + id, 0});
  AddRecord(keys::kJobEnd + id, JobEndRecord{false, job.spec.tasks});
  request.mutations.push_back({keys::kJob + id, true, {}, 0});
  job_ends.push_back(id);
}

RecordBatch::PageWrite& RecordBatch::AddPage(PagedRecords* records, PagedRecords::Page* page,
                                             Record value) {
  const bool deleted = page->items.empty();
  request.preconditions.push_back({page->key, page->version});
  CountValue(page->key, page->bytes);
  request.mutations.push_back({page->key, deleted, deleted ? Record{} : std::move(value), 0});
  pages.push_back({records, page, deleted, page->urgent, {}, {}});
  return pages.back();
}

bool IsUnaffected(const StateResponse& response, const std::string& key) {
  using Outcome = StateResponse::Outcome;
  if (response.outcome == Outcome::kRefused || response.outcome == Outcome::kTooLarge) return true;
  const std::vector<std::string>& failed = response.failed_keys;
  return response.outcome == Outcome::kConflict && !failed.empty() &&
         std::find(failed.begin(), failed.end(), key) == failed.end();
}

bool IsJobEndUnaffected(const StateResponse& response, const std::string& job) {
  return IsUnaffected(response, keys::kJob + job) && IsUnaffected(response, keys::kJobEnd + job);
}

}  // namespace badgershore
