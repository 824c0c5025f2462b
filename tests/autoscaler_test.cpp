// Tests which machines the autoscaler requests.
#include "core/placement/autoscaler.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace badgershore
