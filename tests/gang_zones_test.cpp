// Which machines the autoscaler requests and keeps for jobs that are bound to zones: enough for
// placement, and no more with every decision.
#include <gtest/gtest.h>

#include <random>

#include "core/placement/array_scale_out.h"
#include "core/placement/autoscaler.h"
#include "core/placement/gang_scale_out.h"

namespace badgershore {
namespace {

constexpr int kBoxCpus = 8;

// A fleet to which each request is added at once, as if the cloud granted it and it had booted.
class Fleet {
 public:
  explicit Fleet(std::vector<std::string> zones) : zones_(std::move(zones)) {
    types_["box"] = {"box", {kBoxCpus * 1000, 0, 64000}, 10, 1, 1, 0.3, Seconds(30), {}};
  }

  Machine* Add(const std::string& zone) {
    auto machine = std::make_unique<Machine>();
    machine->id = "n-" + std::to_string(machines_.size());
    machine->type_name = "box";
    machine->type = &types_["box"];
    machine->zone = zone;
    machine->stage = MachineStage::kUp;
    machine->last_heartbeat_at = now;
    machines_.push_back(std::move(machine));
    return machines_.back().get();
  }

  Job* AddJob(JobKind kind, int tasks, int cpus) {
    auto job = std::make_unique<Job>();
    job->spec.id = "job-" + std::to_string(jobs_.size());
    job->spec.kind = kind;
    job->spec.tasks = tasks;
    job->spec.need = {cpus * 1000, 0, 1000};
    job->spec.estimated_runtime = Seconds(60);
    job->tasks.resize(static_cast<size_t>(tasks));
    jobs_.push_back(std::move(job));
    return jobs_.back().get();
  }

  // A task of the job runs on the machine.
  static void Place(Job* job, int task, Machine* machine) {
    Allocation& allocation = machine->allocations[{{job->spec.id, task}, 1}];
    allocation.ref = {job->spec.id, task};
    allocation.job = job;
    allocation.need = job->spec.need;
    machine->used = machine->used + job->spec.need;
    ++job->placed;
    ++job->zone_count[machine->zone];
    job->tasks[static_cast<size_t>(task)] = {TaskStage::kPlaced, false, 0, machine, {}, 1};
  }

  ScalingSnapshot Snapshot() const {
    ScalingSnapshot snapshot;
    snapshot.now = now;
    snapshot.machine_types = &types_;
    snapshot.zones = &zones_;
    snapshot.objectives = &objectives_;
    snapshot.reachable_since = now - Seconds(20);
    for (const auto& machine : machines_) snapshot.machines.push_back(machine.get());
    for (const auto& job : jobs_) snapshot.jobs.push_back(job.get());
    return snapshot;
  }

  // Returns the number of machines that were added, by zone.
  std::map<std::string, int> Apply(const ScalingDecision& decision) {
    std::map<std::string, int> added;
    for (const ScaleOutRequest& request : decision.scale_out) {
      added[request.offer.zone] += request.count;
      for (int i = 0; i < request.count; ++i) Add(request.offer.zone);
    }
    return added;
  }

  // Whether the machines, all empty, can hold the gang, found zone by zone.
  bool CanPlace(const JobSpec& spec) const {
    std::map<std::string, int64_t> room;
    for (const auto& m : machines_) {
      if (!Allows(spec, *m->type, m->zone, m->spot)) continue;
      room[m->zone] += m->type->Capacity().Holds(spec.need);
    }
    int64_t together = 0;
    for (const auto& [zone, members] : room) {
      const int64_t share = std::min<int64_t>(members, MaxTasksInZone(spec));
      if (spec.same_zone && share >= spec.tasks) return true;
      together += share;
    }
    return !spec.same_zone && together >= spec.tasks;
  }

  Micros now = Seconds(1000);

 private:
  std::vector<std::string> zones_;
  std::map<std::string, MachineType> types_;
  std::vector<Objective> objectives_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<std::unique_ptr<Job>> jobs_;
};

using Count = std::map<std::string, int>;

class GangZones : public testing::Test {
 protected:
  ScalingDecision DecideForGangs(const Fleet& fleet) const {
    ScalingDecision decision;
    ScaleOutForGangs(fleet.Snapshot(), GangForecast(), offers, options, &decision);
    return decision;
  }
  const Options options;
  InstanceOffers offers{options};
};

// Guards against review/6: all machines for a gang with `spread` are requested in the zone where
// one is up already, and none where the other half has to run, so that the gang never starts.
TEST_F(GangZones, SpreadGangGetsMachinesInTheZoneThatLostThem) {
  Fleet fleet({"a", "b", "c"});
  fleet.Add("a");
  fleet.AddJob(JobKind::kGang, 5, 7)->spec.spread = true;
  const Count added = fleet.Apply(DecideForGangs(fleet));
  EXPECT_EQ(added, (Count{{"a", 2}, {"b", 2}}));
  EXPECT_TRUE(DecideForGangs(fleet).scale_out.empty());
}

TEST_F(GangZones, SpreadGangStartsFromNoMachine) {
  Fleet fleet({"a", "b"});
  fleet.AddJob(JobKind::kGang, 3, 7)->spec.spread = true;
  EXPECT_EQ(fleet.Apply(DecideForGangs(fleet)), (Count{{"a", 2}, {"b", 1}}));
}

// Guards against requests in other zones, again and again, while the zone that a gang needs has no
// machines to give.
TEST_F(GangZones, NothingMoreIsRequestedWhileTheOtherZoneRefuses) {
  Fleet fleet({"a", "b"});
  fleet.Add("a");
  Job* gang = fleet.AddJob(JobKind::kGang, 2, 7);
  gang->spec.spread = true;
  offers.RecordRefusal({"box", "b", false}, fleet.now);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(fleet.Apply(DecideForGangs(fleet)), Count());
  EXPECT_EQ(DecideForGangs(fleet).reserved_for_gangs.size(), 1u);
}

// Guards against machines of several zones that are counted together for a gang of one zone.
TEST_F(GangZones, GangOfOneZoneCompletesTheFullestZone) {
  Fleet fleet({"a", "b"});
  fleet.Add("a");
  fleet.Add("b");
  fleet.Add("b");
  fleet.AddJob(JobKind::kGang, 3, 7)->spec.same_zone = true;
  EXPECT_EQ(fleet.Apply(DecideForGangs(fleet)), (Count{{"b", 1}}));
  EXPECT_EQ(fleet.Apply(DecideForGangs(fleet)), Count());
}

// Guards against machines that are requested again and again in a zone that is cut off: they come
// up there, are not heard and are returned.
TEST_F(GangZones, ZoneThatIsCutOffIsPassedOver) {
  Fleet fleet({"a", "b"});
  fleet.Add("a")->last_heartbeat_at = fleet.now - Seconds(60);
  fleet.AddJob(JobKind::kGang, 1, 7);
  offers.RecordUnreachable("a", /*booting=*/false, fleet.now - Seconds(30));
  EXPECT_EQ(fleet.Apply(DecideForGangs(fleet)), (Count{{"b", 1}}));
}

TEST_F(GangZones, OneMachineIsTriedWhereOthersDidNotComeUp) {
  Fleet fleet({"a"});
  fleet.AddJob(JobKind::kGang, 6, 7);
  offers.RecordUnreachable("a", /*booting=*/true, fleet.now - Seconds(1));
  EXPECT_EQ(fleet.Apply(DecideForGangs(fleet)), (Count{{"a", 1}}));
  // It is heard: the others follow.
  EXPECT_EQ(fleet.Apply(DecideForGangs(fleet)), (Count{{"a", 5}}));
}

// Guards against requests that placement can't use, for any mixture of constraints, and against
// requests without end.
TEST_F(GangZones, RequestedMachinesLetEveryGangRunAndThenNoMoreAreRequested) {
  std::mt19937 random(67);
  const auto pick = [&random](int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random);
  };
  const std::vector<std::string> zones = {"a", "b", "c"};
  for (int round = 0; round < 400; ++round) {
    Fleet fleet({zones.begin(), zones.begin() + pick(1, 3)});
    for (int i = pick(0, 4); i > 0; --i) fleet.Add(zones[static_cast<size_t>(pick(0, 2))]);
    Job* gang = fleet.AddJob(JobKind::kGang, pick(1, 9), pick(1, kBoxCpus));
    gang->spec.spread = pick(0, 1) == 0;
    gang->spec.same_zone = pick(0, 1) == 0;
    if (pick(0, 3) == 0) gang->spec.zone = "a";
    const bool one_zone = gang->spec.zone || gang->spec.same_zone;
    const auto usable = static_cast<int>(one_zone ? 1 : fleet.Snapshot().zones->size()) *
                        MaxTasksInZone(gang->spec);
    const int before = static_cast<int>(fleet.Snapshot().machines.size());
    for (int i = 0; i < 4; ++i) fleet.Apply(DecideForGangs(fleet));
    const int after = static_cast<int>(fleet.Snapshot().machines.size());
    EXPECT_LE(after - before, gang->spec.tasks) << "round " << round;
    EXPECT_EQ(fleet.Apply(DecideForGangs(fleet)), Count()) << "round " << round;
    if (usable >= gang->spec.tasks) {
      EXPECT_TRUE(fleet.CanPlace(gang->spec)) << "round " << round;
    } else {
      EXPECT_EQ(after, before) << "round " << round;
    }
  }
}

class ServiceZones : public testing::Test {
 protected:
  ScalingDecision Decide(const Fleet& fleet) { return autoscaler.Decide(fleet.Snapshot()); }
  const Options options;
  Autoscaler autoscaler{options};
};

// Guards against a replica for which no machine is requested because one is up in a zone where it
// may not run.
TEST_F(ServiceZones, SpreadReplicaGetsAMachineInAnotherZone) {
  Fleet fleet({"a", "b"});
  Machine* machine = fleet.Add("a");
  fleet.Add("a");
  Job* service = fleet.AddJob(JobKind::kService, 2, 2);
  service->spec.spread = true;
  Fleet::Place(service, 0, machine);
  EXPECT_EQ(fleet.Apply(Decide(fleet)), (Count{{"b", 1}}));
  EXPECT_EQ(fleet.Apply(Decide(fleet)), Count());
}

// Guards against a job that waits for ever beside machines that services fill.
TEST_F(ServiceZones, MachineThatIsFullOfServicesIsNoRoom) {
  Fleet fleet({"a"});
  Machine* machine = fleet.Add("a");
  Fleet::Place(fleet.AddJob(JobKind::kService, 1, kBoxCpus - 1), 0, machine);
  Job* array = fleet.AddJob(JobKind::kArray, 1, 2);
  array->spec.zone = "a";
  EXPECT_EQ(fleet.Apply(Decide(fleet)), (Count{{"a", 1}}));
  EXPECT_EQ(fleet.Apply(Decide(fleet)), Count());
}

// Guards against a job of one zone that gets no machine while others are requested elsewhere all
// the time, and against returning the only machine that it can use.
TEST_F(ServiceZones, MachineOfABoundJobIsRequestedAndKept) {
  Fleet fleet({"a", "b"});
  fleet.AddJob(JobKind::kArray, 400, 2)->spec.zone = "a";
  Job* bound = fleet.AddJob(JobKind::kArray, 1, 2);
  bound->spec.zone = "b";
  EXPECT_EQ(fleet.Apply(Decide(fleet))["b"], 1);
  Machine* machine = fleet.Snapshot().machines.back();
  ASSERT_EQ(machine->zone, "b");
  machine->idle_since = fleet.now;
  fleet.now = fleet.now + Seconds(600);
  for (Machine* m : fleet.Snapshot().machines) m->last_heartbeat_at = fleet.now;
  const ScalingDecision decision = Decide(fleet);
  EXPECT_EQ(std::count(decision.release.begin(), decision.release.end(), machine), 0);
  EXPECT_EQ(std::count(decision.drain.begin(), decision.drain.end(), machine), 0);
}

// A machine that drains is used again before another is requested.
TEST_F(ServiceZones, DrainingMachineIsUsedForABoundJob) {
  Fleet fleet({"a", "b"});
  Machine* machine = fleet.Add("b");
  machine->draining = true;
  machine->idle_since = fleet.now;
  fleet.Add("a");
  Job* bound = fleet.AddJob(JobKind::kArray, 1, 2);
  bound->spec.zone = "b";
  const ScalingDecision decision = Decide(fleet);
  EXPECT_NE(std::count(decision.undrain.begin(), decision.undrain.end(), machine), 0);
  EXPECT_TRUE(decision.release.empty());
  EXPECT_EQ(decision.scale_out.size(), 0u);
}

}  // namespace
}  // namespace badgershore
