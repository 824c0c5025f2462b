// A transaction of the leader's durable records, and the data that is needed to process its
// response.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/leader/write_budget.h"
#include "core/model/effects.h"
#include "core/model/jobs.h"
#include "core/model/paged_records.h"
#include "core/outbox/state_limits.h"

namespace badgershore {

struct RecordBatch {
  struct CompletedTasks {
    std::string job;
    std::vector<int> tasks;
  };
  struct PageWrite {
    PagedRecords* records = nullptr;
    PagedRecords::Page* page = nullptr;
    bool deleted = false;
    bool urgent = false;
    // Durable once the page is written.
    std::vector<std::string> machines;
    std::vector<CompletedTasks> tasks;
  };

  // The term is a precondition of each transaction.
  explicit RecordBatch(uint64_t term_version);

  // Whether a record of so many mutations and at most so many bytes can be added. The first record
  // is limited by the budget alone, since it can't be divided further.
  bool HasRoom(const StateLimits& limits, const WriteBudget& budget, size_t record_mutations,
               size_t record_bytes) const;
  bool empty() const { return request.mutations.empty(); }

  void AddRecord(const std::string& key, Record value);
  // The end of a job whose tasks are all done.
  void AddJobEnd(const Job& job);
  // The page's version is a precondition, so that a delayed older write can't undo a newer one.
  // `value` is not written if the page has no items left.
  PageWrite& AddPage(PagedRecords* records, PagedRecords::Page* page, Record value);

  StateRequest request;  // empty once sent
  TransactionSize size;
  size_t total_bytes = 0;  // an upper bound
  std::vector<MachineType> machine_types;
  bool has_type_count = false;
  std::optional<LimitsRecord> limits;
  std::vector<std::string> job_ends;
  std::vector<PageWrite> pages;

 private:
  void CountValue(const std::string& key, size_t bytes);
};

// Whether the response to the failed transaction shows that this key's record is unchanged from
// what the batch expected, so that the write may be retried without reading the record again.
bool IsUnaffected(const StateResponse& response, const std::string& key);
bool IsJobEndUnaffected(const StateResponse& response, const std::string& job);

}  // namespace badgershore
