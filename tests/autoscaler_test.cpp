// Tests which machines the autoscaler requests.
#include "core/placement/autoscaler.h"

#include <gtest/gtest.h>

#include <random>

#include "core/placement/gang_scale_out.h"

namespace badgershore {
namespace {

// Guards against losing the arrival history in a failover: the new leader would then release the
// room kept for urgent jobs, which can't wait for a machine to boot.
TEST(Autoscaler, KeepsRoomForArrivalsBeforeTheTerm) {
  const Options options;
  const std::vector<std::string> zones = {"a"};
  const std::vector<Objective> objectives;
  std::map<std::string, MachineType> types;
  types["box"] = {"box", {4000, 0, 16000}, 10, 1, 1, 0.3, Seconds(30), {}};
  Job waiting_job;
  waiting_job.spec.need = {1000, 0, 1000};
  waiting_job.spec.estimated_runtime = Seconds(30);
  waiting_job.spec.deadline = Seconds(57);
  waiting_job.spec.allow_spot = true;
  waiting_job.submitted_at = Seconds(100);
  const auto requested_spot_machines = [&](int earlier_arrivals) {
    Autoscaler autoscaler(options);
    JobSpec spec = waiting_job.spec;
    spec.tasks = 40;
    for (int i = 0; i < earlier_arrivals; ++i) {
      autoscaler.RecordUrgentArrival(spec, Seconds(27), Seconds(30), Seconds(4.0 * i),
                                     Seconds(100));
    }
    ScalingSnapshot snapshot;
    snapshot.now = Seconds(100);
    snapshot.machine_types = &types;
    snapshot.zones = &zones;
    snapshot.objectives = &objectives;
    snapshot.jobs = {&waiting_job};
    int count = 0;
    for (const ScaleOutRequest& request : autoscaler.Decide(snapshot).scale_out)
      count += request.offer.spot ? request.count : 0;
    return count;
  };
  EXPECT_LE(requested_spot_machines(0), 1);
  // At least machines for the mean load, at four tasks a machine.
  EXPECT_GE(requested_spot_machines(25), 40 * 25 * 30 / 100 / 4);
}

// The machines that a gang's members need in addition to those that are free, found member by
// member: each goes to the first machine with room.
std::map<std::string, int> MachinesMemberByMember(const ScalingSnapshot& snapshot,
                                                  const InstanceOffers& offers,
                                                  std::set<const Machine*>* reserved) {
  struct Room {
    const Machine* machine;
    const MachineType* type;
    Resources free;
  };
  std::vector<Room> rooms;
  for (const Machine* m : snapshot.machines) rooms.push_back({m, m->type, m->type->size});
  for (const auto& [offer, count] : snapshot.pending_scale_out) {
    const MachineType& type = snapshot.machine_types->at(offer.type);
    for (int i = 0; i < count; ++i) rooms.push_back({nullptr, &type, type.size});
  }
  std::map<std::string, int> requested;
  for (const Job* job : snapshot.jobs) {
    const JobSpec& spec = job->spec;
    for (int i = 0; i < spec.tasks; ++i) {
      const auto room = std::find_if(rooms.begin(), rooms.end(), [&spec](const Room& r) {
        return Allows(spec, *r.type, "a", false) && spec.need.Fits(r.free);
      });
      if (room != rooms.end()) {
        room->free = room->free - spec.need;
        if (room->machine) reserved->insert(room->machine);
        continue;
      }
      const std::vector<InstanceOffer> possible = offers.OffersFor(snapshot, spec);
      const InstanceOffer* cheapest = offers.Cheapest(snapshot, possible);
      if (!cheapest) continue;
      ++requested[cheapest->type];
      const MachineType& type = snapshot.machine_types->at(cheapest->type);
      rooms.push_back({nullptr, &type, type.size - spec.need});
    }
  }
  return requested;
}

// Guards against a faster search for the gangs' room that finds other machines than going through
// the members one by one.
TEST(GangScaleOut, RequestsWhatMembersNeedOneByOne) {
  const Options options;
  const std::vector<std::string> zones = {"a"};
  std::map<std::string, MachineType> types;
  types["box"] = {"box", {4000, 0, 16000}, 10, 1, 1, 0.3, Seconds(30), {}};
  types["big"] = {"big", {32000, 0, 64000}, 10, 1, 6, 2, Seconds(30), {}};
  std::mt19937 random(57);
  const auto pick = [&random](int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random);
  };
  for (int round = 0; round < 300; ++round) {
    ScalingSnapshot snapshot;
    snapshot.machine_types = &types;
    snapshot.zones = &zones;
    std::vector<std::unique_ptr<Machine>> machines;
    for (int i = pick(0, 12); i > 0; --i) {
      auto machine = std::make_unique<Machine>();
      machine->type = &types[pick(0, 1) == 0 ? "box" : "big"];
      machine->type_name = machine->type->name;
      machine->zone = "a";
      machine->stage = MachineStage::kUp;
      snapshot.machines.push_back(machine.get());
      machines.push_back(std::move(machine));
    }
    snapshot.pending_scale_out[{pick(0, 1) == 0 ? "box" : "big", "a", false}] = pick(1, 5);
    std::vector<std::unique_ptr<Job>> jobs;
    for (int i = pick(1, 4); i > 0; --i) {
      auto job = std::make_unique<Job>();
      job->spec.kind = JobKind::kGang;
      job->spec.tasks = pick(1, 60);
      job->spec.need = {pick(1, 12) * 500, 0, pick(1, 20) * 500};
      snapshot.jobs.push_back(job.get());
      jobs.push_back(std::move(job));
    }
    const InstanceOffers offers(options);
    ScalingDecision decision;
    ScaleOutForGangs(snapshot, GangForecast(), offers, options, &decision);
    std::map<std::string, int> requested;
    for (const ScaleOutRequest& request : decision.scale_out)
      requested[request.offer.type] += request.count;
    std::set<const Machine*> reserved;
    EXPECT_EQ(requested, MachinesMemberByMember(snapshot, offers, &reserved)) << "round " << round;
    EXPECT_EQ(decision.reserved_for_gangs, reserved) << "round " << round;
  }
}

}  // namespace
}  // namespace badgershore
