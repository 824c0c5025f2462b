// A leader whose state service lowers its limits: what it has to record is divided, nothing is lost
// and nothing is sent again unchanged.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "core/model/record_size.h"
#include "emulated_site.h"
#include "limited_state_service.h"

namespace badgershore {
namespace {

constexpr int kHundredsOfMachines = 300;
// From a machine's end until it is taken off the records, and for what is queued behind that.
constexpr Micros kSettleTime = Seconds(40);

// In how many pages each machine stands.
std::map<std::string, int> RecordedMachines(const EmulatedSite& site) {
  std::map<std::string, int> pages;
  for (const auto& [key, item] : site.state().items) {
    const auto* page = std::get_if<FleetPage>(&item.value);
    if (!page) continue;
    for (const MachineRecord& machine : page->machines) ++pages[machine.id];
  }
  return pages;
}

std::vector<std::string> MachinesRecordedOnce(const EmulatedSite& site) {
  std::vector<std::string> ids;
  for (const auto& [id, pages] : RecordedMachines(site)) {
    EXPECT_EQ(pages, 1) << id;
    ids.push_back(id);
  }
  return ids;
}

bool IsDone(const EmulatedSite& site, const std::string& job) {
  return site.state().items.contains(keys::kJobEnd + job);
}

void RunJob(EmulatedSite* site, const std::string& job, int tasks = 4) {
  site->Submit(JobKind::kArray, tasks, kSmallTaskCpus, job);
  site->Advance(Seconds(6));
  site->CompleteAll();
  site->Advance(Seconds(6));
}

// Guards against a page that was written under larger limits and is refused with every transaction
// from then on, so that no job is called done any more (review case 2).
TEST(LoweredLimits, JobsAreCalledDoneAfterLimitsFellWithoutNotice) {
  EmulatedSite site(kMachineCount, FastState);
  LimitedStateService service(&site);
  service.SetLimits(2048, 4);
  site.AddMachines(1);
  RunJob(&site, Id(1));
  EXPECT_TRUE(IsDone(site, Id(1)));
  EXPECT_EQ(MachinesRecordedOnce(site), site.Machines());
  EXPECT_GT(service.refusals, 0);
  // The learned limits hold: nothing further is refused.
  service.refusals = 0;
  site.AddMachines(40);
  RunJob(&site, Id(2));
  EXPECT_TRUE(IsDone(site, Id(2)));
  EXPECT_EQ(service.refusals, 0);
}

TEST(LoweredLimits, LimitsThatFallAgainAreLearnedAgain) {
  EmulatedSite site(kMachineCount, FastState);
  LimitedStateService service(&site);
  int job = 0;
  for (const size_t value_bytes : {4096, 2000, 900, 700}) {
    service.SetLimits(value_bytes, value_bytes > 1000 ? 4 : 2);
    site.AddMachines(3);
    RunJob(&site, Id(++job));
    EXPECT_TRUE(IsDone(site, Id(job))) << value_bytes;
    EXPECT_EQ(MachinesRecordedOnce(site), site.Machines()) << value_bytes;
  }
}

// Guards against a leader that lost machines, or brings removed ones back, because its predecessor
// ended while it divided a page: in each run after one more transaction.
TEST(LoweredLimits, NoMachineIsLostWhenTheLeaderEndsAnywhereInADivision) {
  bool stood_twice = false;
  for (int ends_after = 1; ends_after <= 16; ++ends_after) {
    EmulatedSite site(90, FastState);
    LimitedStateService service(&site);
    site.LoseMachine("n-000007");
    site.Advance(Seconds(10));
    service.SetLimits(900, 3);
    service.transactions = 0;
    site.on_transaction = [&] {
      ++service.transactions;
      const std::map<std::string, int> recorded = RecordedMachines(site);
      for (const std::string& id : site.Machines()) {
        EXPECT_TRUE(recorded.contains(id) || id >= "n-000090") << id << " " << ends_after;
      }
      stood_twice |= std::any_of(recorded.begin(), recorded.end(),
                                 [](const auto& machine) { return machine.second > 1; });
    };
    site.AddMachines(2);
    while (service.transactions < ends_after && site.now() < Seconds(140)) site.Advance(kTick);
    site.StartController();
    service.ForgetRefused();
    site.LoseMachine("n-000042");
    site.Advance(kSettleTime);
    RunJob(&site, Id(1));
    EXPECT_TRUE(IsDone(site, Id(1))) << ends_after;
    EXPECT_EQ(MachinesRecordedOnce(site), site.Machines()) << ends_after;
  }
  EXPECT_TRUE(stood_twice);  // the divisions did take several transactions
}

// Guards against a removed machine that a later leader finds in the page that was divided.
TEST(LoweredLimits, RemovedMachinesAndEndedJobsStayAwayAfterADivision) {
  EmulatedSite site(90, FastState);
  LimitedStateService service(&site);
  RunJob(&site, Id(1));
  service.SetLimits(900, 3);
  site.AddMachines(1);
  site.Advance(Seconds(1));
  site.LoseMachine("n-000042");
  site.Advance(kSettleTime);
  EXPECT_EQ(MachinesRecordedOnce(site), site.Machines());
  site.StartController();
  service.ForgetRefused();
  site.Advance(kSettleTime);
  EXPECT_EQ(MachinesRecordedOnce(site), site.Machines());
  EXPECT_FALSE(site.state().items.contains(keys::kJob + Id(1)));
  EXPECT_TRUE(IsDone(site, Id(1)));
}

// Guards against a job whose progress takes more than a value may, and which keeps all other
// records from being written.
TEST(LoweredLimits, RecordThatCannotBeWrittenHoldsUpNoOther) {
  EmulatedSite site(kMachineCount, FastState);
  LimitedStateService service(&site);
  service.SetLimits(1000, 4);  // a chunk of 4,096 tasks takes more
  site.Submit(JobKind::kArray, 9000, kSmallTaskCpus, Id(1));
  site.Advance(Seconds(10));
  site.CompleteAll();
  // Starts the rest of the job, so that its end is not recorded yet.
  site.Submit(JobKind::kArray, 4, kSmallTaskCpus, Id(2));
  site.Advance(Seconds(10));
  site.CompleteAll();
  site.AddMachines(20);
  site.Advance(Seconds(10));
  EXPECT_TRUE(IsDone(site, Id(1)));
  EXPECT_TRUE(IsDone(site, Id(2)));
  EXPECT_EQ(MachinesRecordedOnce(site), site.Machines());
}

// Guards against a user who is told for a minute to retry what can never be recorded, and against
// an accepted job that is refused when its user repeats the request after the limits have fallen.
TEST(LoweredLimits, OnlyJobsThatWereNotAcceptedAreRefusedForTheirSize) {
  EmulatedSite site(kMachineCount, FastState);
  LimitedStateService service(&site);
  const std::string long_name(3000, 'x');
  const auto submit = [&](const std::string& id) {
    site.api_responses.clear();
    site.Submit(JobKind::kArray, 1, kSmallTaskCpus, id, long_name);
    return site.api_responses.empty() ? 0 : site.api_responses.back().status;
  };
  EXPECT_EQ(submit(Id(1)), 201);
  service.SetLimits(2048, 4);
  EXPECT_EQ(submit(Id(2)), 422);
  EXPECT_EQ(submit(Id(1)), 200);
  site.Advance(Seconds(6));
  site.CompleteAll();
  site.Advance(Seconds(6));
  EXPECT_TRUE(IsDone(site, Id(1)));
}

// Guards against transactions with more changes than the service accepts in a second, and against
// a leader that uses up all changes of a lower rate.
TEST(LoweredLimits, RateMayFallWithoutNotice) {
  EmulatedSite site(kMachineCount, [](PlatformSettings* settings, Options* options) {
    FastState(settings, options);
    settings->state.changes_per_s = 15;
  });
  LimitedStateService service(&site);
  service.SetLimits(2048, 8, 3);
  site.AddMachines(30);
  RunJob(&site, Id(1));
  site.Advance(kSettleTime);
  EXPECT_TRUE(IsDone(site, Id(1)));
  EXPECT_EQ(MachinesRecordedOnce(site), site.Machines());
}

void AnnouncedLimits(PlatformSettings* settings, Options* options) {
  FastState(settings, options);
  settings->next_state = settings->state;
  settings->next_state->value_kb = 2;
  settings->next_state->mutations = 4;
}

// Guards against pages that are divided only once the limits have fallen: before that, all parts
// of a page fit in one transaction, so that no machine ever stands twice.
TEST(LoweredLimits, PagesAreDividedBeforeAnnouncedLimitsHold) {
  EmulatedSite site(kHundredsOfMachines, AnnouncedLimits);
  LimitedStateService service(&site);
  site.on_transaction = [&] { MachinesRecordedOnce(site); };
  site.Advance(Seconds(30));
  service.SetLimits(2048, 4);
  site.AddMachines(20);
  site.LoseMachine("n-000042");
  RunJob(&site, Id(1));
  site.Advance(kSettleTime);
  EXPECT_TRUE(IsDone(site, Id(1)));
  EXPECT_EQ(MachinesRecordedOnce(site), site.Machines());
  EXPECT_LE(service.refusals, 1);
}

// Guards against pages that are never divided ahead because a second's changes are fewer than a
// transaction may have.
TEST(LoweredLimits, PagesAreDividedAheadAtALowRateToo) {
  EmulatedSite site(kMachineCount * 4, [](PlatformSettings* settings, Options* options) {
    AnnouncedLimits(settings, options);
    settings->state.changes_per_s = 10;
  });
  site.Advance(Seconds(60));
  for (const auto& [key, item] : site.state().items) {
    const auto* page = std::get_if<FleetPage>(&item.value);
    if (!page) continue;
    EXPECT_LE(MaxRecordBytes(*page), 2048u) << key;
  }
  EXPECT_EQ(MachinesRecordedOnce(site), site.Machines());
}

// Guards against a record that is refused alone, whatever its size, and sent again at once.
TEST(LoweredLimits, SmallRecordThatIsRefusedIsNotSentAgain) {
  EmulatedSite site(kMachineCount, FastState);
  site.ClearState();
  int refused = 0;
  site.refuse_state_request = [&](const StateRequest& request) -> std::optional<StateResponse> {
    const bool counts_types =
        std::any_of(request.mutations.begin(), request.mutations.end(),
                    [](const Mutation& mutation) { return mutation.key == keys::kTypes; });
    if (!counts_types) return std::nullopt;
    ++refused;
    StateResponse response;
    response.outcome = StateResponse::Outcome::kTooLarge;
    return response;
  };
  site.StartController();
  site.Advance(Seconds(20));
  EXPECT_GT(refused, 0);
  EXPECT_LE(refused, 4);
  EXPECT_EQ(MachinesRecordedOnce(site), site.Machines());
}

// One refusal is enough to take the announced limits as those in force, also for the next leader.
TEST(LoweredLimits, AnnouncedLimitsHoldFromTheFirstRefusalOn) {
  EmulatedSite site(kHundredsOfMachines, AnnouncedLimits);
  LimitedStateService service(&site);
  service.SetLimits(2048, 4);
  site.AddMachines(1);
  RunJob(&site, Id(1));
  EXPECT_TRUE(IsDone(site, Id(1)));
  EXPECT_LE(service.refusals, 1);
  site.StartController();
  site.Advance(Seconds(5));
  site.AddMachines(kHundredsOfMachines);
  RunJob(&site, Id(2));
  EXPECT_TRUE(IsDone(site, Id(2)));
  EXPECT_EQ(MachinesRecordedOnce(site), site.Machines());
  EXPECT_LE(service.refusals, 1);
}

// Random limits that fall at random times, with machines that come and go, jobs that end and
// leaders that end: nothing is lost, nothing comes back, nothing is sent again unchanged.
TEST(LoweredLimits, NothingIsLostWithRandomLimits) {
  constexpr int kMaxRefusalsPerFall = 40;
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    std::mt19937_64 random(seed);
    const auto pick = [&random](int least, int most) {
      return least + static_cast<int>(random() % static_cast<uint64_t>(most - least + 1));
    };
    EmulatedSite site(pick(20, kHundredsOfMachines), FastState);
    LimitedStateService service(&site);
    size_t value_bytes = 8192;
    int mutations = 8, job = 0, leaders_and_falls = 1;
    for (int step = 0; step < 8; ++step) {
      value_bytes = std::max<size_t>(700, value_bytes * static_cast<size_t>(pick(40, 100)) / 100);
      mutations = std::max(2, mutations - pick(0, 3));
      service.SetLimits(value_bytes, static_cast<size_t>(mutations));
      ++leaders_and_falls;
      site.AddMachines(pick(0, 30));
      site.Submit(JobKind::kArray, pick(1, 40), kSmallTaskCpus, Id(++job));
      for (int i = pick(0, 5); i > 0; --i) {
        const std::vector<std::string> ids = site.Machines();
        site.LoseMachine(ids[random() % ids.size()]);
      }
      site.Advance(Millis(pick(100, 8000)));
      if (pick(0, 1) == 0) {
        site.StartController();
        service.ForgetRefused();
        ++leaders_and_falls;
      }
      site.CompleteAll();
      site.Advance(Millis(pick(100, 3000)));
    }
    site.Advance(kSettleTime);
    site.CompleteAll();
    site.Advance(kSettleTime);
    EXPECT_EQ(MachinesRecordedOnce(site), site.Machines()) << "seed " << seed;
    for (int i = 1; i <= job; ++i) EXPECT_TRUE(IsDone(site, Id(i))) << "seed " << seed;
    EXPECT_LE(service.refusals, kMaxRefusalsPerFall * leaders_and_falls) << "seed " << seed;
  }
}

}  // namespace
}  // namespace badgershore
