// What to rent and what to give back, from the waiting work and the machines there are.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/model/fleet.h"
#include "core/model/jobs.h"
#include "core/model/settings.h"

namespace badgershore {

struct InstanceOffer {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const InstanceOffer&) const = default;
};
struct ScaleOutRequest {
  InstanceOffer offer;
  int count = 0;
};
struct ScalingDecision {
  std::vector<ScaleOutRequest> scale_out;
  std::vector<Machine*> drain;  // gets no new work, goes back when empty
  std::vector<Machine*> undrain;
  std::vector<Machine*> release;  // idle now
  std::set<const Machine*> keep;  // room for gangs that wait or may come
};

struct ScalingSnapshot {
  Micros now;
  Micros term_began_at;
  const std::map<std::string, MachineType>* machine_types = nullptr;
  std::vector<Machine*> machines;
  std::map<InstanceOffer, int> pending_scale_out;  // asked for, not answered
  std::vector<const Job*> jobs;
  const std::vector<std::string>* zones = nullptr;
  const std::vector<Objective>* objectives = nullptr;
  // By team's number: CPU that it may use at once, and that its gangs of the rank may still take;
  // INT64_MAX: no limit.
  std::function<int64_t(int)> team_cpu_limit;
  std::function<int64_t(int, Priority)> gang_cpu_headroom;
  std::function<int(const std::string&)> team_index;
  int64_t total_cpu_limit = INT64_MAX;  // of all teams together, where each has one
};

class Autoscaler {
 public:
  explicit Autoscaler(const Options& options) : options_(options) {}

  ScalingDecision Decide(const ScalingSnapshot& view);
  void RecordRefusal(const InstanceOffer& offer, Micros now) {
    refused_until_[offer] = now + options_.refusal_memory;
  }
  // New work, for the measure of what arrives.
  // `boot`: how long a new machine takes; work that can wait for one counts for nothing here.
  void RecordArrayArrival(const JobSpec& spec, Micros arrived, Micros now);
  // A new leader hears of what came before its term by what is not over yet.
  void RecordUrgentArrival(const JobSpec& spec, Micros slack, Micros boot, Micros arrived,
                           Micros now);
  // How long the job may take from its arrival, by its deadline or its lane's objective.
  Micros CompletionTarget(const JobSpec& spec, const std::vector<Objective>& objectives,
                          double share) const;

  // Whether gangs were seen lately that need most of such a machine.
  bool IsNeededByGangs(const MachineType& type, const std::string& zone, bool spot,
                       Micros now) const;
  // Whether gangs of higher rank came lately that may have such a machine cleared of the job's
  // tasks.
  bool MayBePreemptedByGangs(const JobSpec& spec, const MachineType& type, const std::string& zone,
                             bool spot, Micros now) const;
  void RecordGangDemand(const JobSpec& spec, Micros now);
  void RecordGangArrival(const JobSpec& spec, Micros at);
  std::string Summary() const { return summary_; }

 private:
  std::vector<InstanceOffer> OffersFor(const ScalingSnapshot& view, const JobSpec& spec) const;
  double Price(const ScalingSnapshot& view, const InstanceOffer& offer) const;
  Micros RemainingTime(const ScalingSnapshot& view, const Job& job, Micros boot) const;
  void PlanGangs(const ScalingSnapshot& view, ScalingDecision* plan);
  void PlanArrays(const ScalingSnapshot& view, ScalingDecision* plan);

  const Options& options_;
  std::map<InstanceOffer, Micros> refused_until_;
  // All work of arrays, and how much of it hangs on single jobs.
  struct ArrivalRateForecast {
    double sum = 0, squares = 0;
    Micros at;
    void Add(double work, Micros arrived, Micros now);
    void Decay(Micros now);
    double LowerBound(double doubt) const;
  };
  ArrivalRateForecast stream_;
  // What can't wait for a boot has to find its room there: how much of it is under way at a time
  // where nothing ever waits, by what came of late.
  struct UrgentLoadForecast {
    double work = 0;     // sum of the jobs' CPU seconds
    double squares = 0;  // of their squares
    double bursts = 0;   // of the squares of their CPUs, times the seconds each runs
    Micros at;
    Micros since = kNever;  // the first that is counted arrived then
    void Decay(Micros now);
    void Add(double cpus, double seconds, Micros arrived, Micros now);
    double Window() const;  // seconds
    double Mean() const;
    double Spread() const;  // the standard deviation
    double Confidence(double doubt) const;
  };
  UrgentLoadForecast urgent_;
  struct GangNeed {
    JobSpec spec;
    Micros last;
    std::deque<std::pair<Micros, int>> arrivals;  // of late: when, and how many members
  };
  // Members that may arrive before a machine rented then would be up: so many are to find room.
  int ExpectedMembers(const GangNeed& need, Micros boot, Micros now) const;
  std::map<std::string, GangNeed> gang_needs_;  // by lane
  double recent_need_ = 0;
  Micros recent_at_;
  std::string summary_;
};

}  // namespace badgershore
