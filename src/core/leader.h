// One reign: everything that the leading controller knows and decides.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/asker.h"
#include "core/autoscale.h"
#include "core/dispatch.h"
#include "core/election.h"
#include "core/fleet.h"
#include "core/jobs.h"
#include "core/mirror.h"

namespace badgershore {

// Progress is kept in chunks of so many tasks.
constexpr int kChunkTasks = 4096;

// What an item takes of its page's value, at most.
inline size_t MachineBytes(const MachineRecord& r) {
  return 64 + r.id.size() + r.endpoint.size() + r.type.size() + r.zone.size();
}
inline size_t PieceBytes(const Job& job, int chunk) {
  const int tasks = std::min(kChunkTasks, job.spec.tasks - chunk * kChunkTasks);
  return 48 + job.spec.id.size() + static_cast<size_t>(tasks + 3) / 4;
}

class Leader {
 public:
  struct Context {
    Asker* asker;
    const PlatformSettings* settings;
    const Options* options;
    Election* election;
    std::map<std::string, MachineType>* types;  // complete once `types_known`
    std::function<bool()> types_known;
  };
  Leader(Context context, Micros now, int64_t time_of_day_ms);
  ~Leader();

  void Tick(Micros now);
  // What to say to a report. kLater: the answer comes among the effects, by its token.
  enum class Verdict { kAnswer, kLater, kCannot };
  Verdict Checkin(Micros now, RequestId token, const Report& report, std::vector<Order>* orders);
  JobDigest Digest(const std::string& job) const;
  std::vector<JobDigest> Digests() const;
  bool ready() const { return ready_; }
  Micros AnswerUntil() const;
  // Machines were heard in this term, and for so long none was that it can't be chance.
  bool Deaf(Micros now) const;

 private:
  struct PendingRent {
    Offer offer;
    int count = 0;
    int tries = 0;
    bool asking = false;
    Micros retry_at;
  };

  // Loading and following durable records.
  void OnJobEntry(Micros now, const Entry& e);
  void LoadPrefix(const std::string& prefix, const std::string& after,
                  std::function<void(Micros, const Entry&)> each, std::function<void(Micros)> done);
  void Loaded(Micros now);
  void LoadPiece(Micros now, Pages::Page* page, const ProgressPiece& piece);
  void LoadMachine(Micros now, Pages::Page* page, const MachineRecord& r);
  void AddJob(Micros now, const JobSpec& spec, uint64_t stamp);
  void EndJob(Micros now, const std::string& id);

  // Machines.
  Machine* FindMachine(const std::string& id);
  Machine* Adopt(Micros now, const std::string& id, const std::string& endpoint,
                 const std::string& type, const std::string& zone, bool spot);
  bool Absorb(Micros now, Machine* m, const Report& r, bool checkin);
  void Exited(Micros now, Machine* m, Occupant* o, ExitCause cause);
  void Gone(Micros now, Machine* m, Occupant* o);  // proved not to be there any more
  void DropAll(Micros now, Machine* m);
  void Remove(Micros now, const std::string& id);
  void Probe(Micros now, Machine* m);
  void GiveBack(Micros now, Machine* m, const std::string& why);
  void Resolve(Micros now, Machine* m);
  void HaltNow(Micros now, Machine* m);
  void WatchMachines(Micros now);
  void Unbind(Machine* m);
  bool Ready(const Machine& m, Micros now) const;  // may be given work
  bool Held(const Job& job) const;

  // Tasks.
  void MarkDone(Micros now, Job* job, int task);
  void TaskBack(Micros now, Job* job, int task, Micros pause);
  void MarkGuaranteed();
  bool LimitAllows(const Job& job, int more) const;
  Resources RoomFor(const Machine& m, const Job& job, const Resources& used, Micros now) const;
  void BindWaiting(Micros now);
  bool Shuns(Micros now, const Job& job, const Machine& m) const;
  void Bind(Micros now, Job* job, int task, const Able& able);
  void PlaceGangs(Micros now);
  bool PlaceGang(Micros now, Job* job);
  bool AwaitsClear(Micros now, const Job& job, const std::vector<int>& members) const;
  static bool MayStop(const Occupant& o, const Job& gang);
  std::optional<double> CostToClear(Micros now, const Machine& m, const Job& gang) const;
  void ReserveFor(Micros now, Job* gang);
  void Release(Job* gang);
  void MakeWay(Micros now, Machine* m, const Job& gang);
  void HaltGang(Micros now, Job* job, Micros grace);
  void GangTick(Micros now, Job* job);
  Occupant* Place(Micros now, Machine* m, Job* job, int task, uint64_t attempt);
  void OrdersFor(Micros now, Machine* m, std::vector<Order>* orders);
  void AnswerHeld(Micros now, Machine* m);
  bool ZoneAllows(const Job& job, const std::string& zone) const;
  void Vacate(Occupant* o, const Machine& m);
  void CloseJob(Micros now, Job* job);
  void StartFrom(Micros now, Machine* m, std::vector<Order>* orders);
  bool TakeQueued(Micros now, Machine* m, Resources* used, std::vector<Order>* orders);
  bool TakeRebound(Micros now, Machine* m, Resources* used, std::vector<Order>* orders);
  void StartOne(Micros now, Machine* m, Job* job, int task, Resources* used,
                std::vector<Order>* orders);
  uint64_t NextAttempt() { return (election()->term() << 24) + ++attempts_; }

  // Durable writes.
  void Write(Micros now);
  struct Batch;
  static MachineRecord RecordOf(const Machine& m) {
    return {m.id, m.endpoint, m.type_name, m.zone, m.spot};
  }
  void AddPage(Micros now, Pages* pages, Pages::Page* page, StateOp* op, Batch* batch);
  Record PageValue(const Pages* pages, const Pages::Page& page) const;
  void Written(Micros now, const std::shared_ptr<Batch>& batch, StateReply& r);
  void LookAtPage(Pages* pages, Pages::Page* page);

  // The cloud.
  void CloudTick(Micros now);
  void ListMachines(Micros now, const std::string& after);
  void Listed(Micros now, const ListedMachine& l);
  void AskTypes(Micros now);
  void Rent(Micros now, const Offer& offer, int count);
  void SendRent(Micros now, const std::string& name);
  void Scale(Micros now);
  void SendReturns(Micros now);

  const Options& options() const { return *context_.options; }
  const PlatformSettings& settings() const { return *context_.settings; }
  Election* election() const { return context_.election; }
  Asker* asker() const { return context_.asker; }
  // Wraps a continuation so that it does nothing after the reign.
  template <typename F>
  auto Guarded(F f) {
    return [alive = alive_, f = std::move(f)](Micros now, auto& r) {
      if (*alive) f(now, r);
    };
  }

  Context context_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Micros began_;
  int64_t began_ms_;
  bool ready_ = false;
  bool jobs_loaded_ = false;
  int loading_ = 2;
  std::unique_ptr<Mirror> jobs_mirror_;
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::map<std::string, Micros> tombstones_;  // returned, may still be heard of
  std::vector<Machine*> unresolved_;
  std::vector<Job*> waiting_gangs_;
  std::string bound_last_;  // the job that was bound last
  int up_ = 0;              // machines that are up, as of the last tick
  Micros last_heard_{-1};   // of any machine in this term
  Resources least_need_;    // no live job's task takes less, as of the last tick or arrival
  uint64_t attempts_ = 0;
  Pages fleet_pages_, progress_pages_;

  // Writes.
  bool writing_ = false;
  Micros write_at_;
  double write_tokens_ = 0;
  Micros tokens_at_;
  std::deque<std::string> finish_queue_;
  Micros fleet_at_;  // no fleet page before: what comes in between shares one
  bool types_dirty_ = false;
  std::map<std::string, MachineType> new_types_;

  // What was paid for in this term, in machine seconds, for the log.
  struct Paid {
    double held = 0, boot = 0, used = 0, fetching = 0, short_of_work = 0;
  };
  std::map<Offer, Paid> paid_;
  Micros paid_at_;
  void CountPaid(Micros now);

  // Cloud.
  Autoscaler scaler_;
  bool listing_ = false, asking_types_ = false;
  Micros list_at_, types_at_, scale_at_, log_at_;
  uint64_t rents_ = 0;
  std::map<std::string, PendingRent> pending_;
  std::unordered_set<std::string> list_seen_;
  std::vector<std::string> return_queue_;
  bool returning_ = false;
  Micros return_at_;
};

}  // namespace badgershore
