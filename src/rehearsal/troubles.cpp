// Injects the faults of a scenario and ends them.
#include <algorithm>

#include "rehearsal/world.h"

namespace badgershore::rehearsal {

void World::InjectFault(const Fault& t) {
  using Kind = Fault::Kind;
  const auto at_end = [&](std::function<void()> then) { Schedule(now_ + t.span, std::move(then)); };
  const auto each_machine = [&](auto then) {
    std::vector<std::string> ids;
    for (const auto& [id, w] : workers_) {
      if (t.zone.empty() || w.record.zone == t.zone) ids.push_back(id);
    }
    for (const std::string& id : ids) {
      if (RandomFraction() < t.share) then(id);
    }
  };
  RecordNote("trouble " + std::to_string(static_cast<int>(t.kind)) + " begins");
  switch (t.kind) {
    case Kind::kCloudDown:
      cloud_.api_down = true;
      return at_end([this] { cloud_.api_down = false; });
    case Kind::kCloudEmpty:
      cloud_.no_capacity = true;
      return at_end([this] { cloud_.no_capacity = false; });
    case Kind::kVanishingInstances:
      cloud_.vanish_share = t.share;
      return at_end([this] { cloud_.vanish_share = 0; });
    case Kind::kBootFailures:
      cloud_.never_boots_share = t.share;
      return at_end([this] { cloud_.never_boots_share = 0; });
    case Kind::kSpotPreemptions:
      return each_machine([&](const std::string& id) {
        Worker& w = workers_.at(id);
        if (!w.record.spot) return;
        const Micros notice = RandomFraction() < 0.3 ? Micros{} : RandomDuration(4, 12);
        if (notice > Micros{}) {
          w.agent->SetPreemptionNotice(now_, notice);
          ProcessAgentActions(id);
        }
        Schedule(now_ + notice, [this, id] { cloud_.Terminate(now_, id); });
      });
    case Kind::kStateDown:
      state_down_ = true;
      return at_end([this] {
        state_down_ = false;
        if (state_) state_->RenewAllLeases(now_);
      });
    case Kind::kLostCommitResponses:
      lost_response_share_ = t.share;
      return at_end([this] { lost_response_share_ = 0; });
    case Kind::kCommitsAfterTimeout:
      delayed_write_share_ = t.share;
      delayed_writes_until_ = now_ + t.span;
      return at_end([this] { delayed_write_share_ = 0; });
    case Kind::kStateRestart:
      return RestartState(std::max(t.span, Millis(200)));
    case Kind::kDiskFull:
      disk_full_ = true;
      return at_end([this] { disk_full_ = false; });
    case Kind::kKill:
      for (size_t i = 0; i < nodes_.size(); ++i) {
        const bool leads = LeaderIndex() == static_cast<int>(i);
        if (t.who == "all" || t.who == NodeName(i) || (t.who == "leader" && leads)) {
          const Micros restart_delay = RandomDuration(2, 4);
          KillNode(i, t.span.count > 0 ? t.span : restart_delay);
          if (t.who == "leader") break;
        }
      }
      return;
    case Kind::kStateRefuses:
    case Kind::kPause:
      for (size_t i = 0; i < nodes_.size(); ++i) {
        const bool leads = LeaderIndex() == static_cast<int>(i);
        if (t.who != NodeName(i) && !(t.who == "leader" && leads)) continue;
        (t.kind == Kind::kPause ? nodes_[i].paused_until : nodes_[i].state_refused_until) =
            now_ + t.span;
        break;
      }
      return;
    case Kind::kStateSlow:
      message_faults_.slow_state_share = t.share;
      return at_end([this] { message_faults_.slow_state_share = 0; });
    case Kind::kDelayedWrites:
      message_faults_.delayed_write_share = t.share;
      return at_end([this] { message_faults_.delayed_write_share = 0; });
    case Kind::kDuplicateHeartbeats:
      message_faults_.duplicate_heartbeat_share = t.share;
      return at_end([this] { message_faults_.duplicate_heartbeat_share = 0; });
    case Kind::kDelayedCommands:
      message_faults_.delayed_command_share = t.share;
      return at_end([this] { message_faults_.delayed_command_share = 0; });
    case Kind::kDuplicateCommands:
      message_faults_.duplicate_command_share = t.share;
      return at_end([this] { message_faults_.duplicate_command_share = 0; });
    case Kind::kMachinesRestart:
      return each_machine([&](const std::string& id) { RestartMachine(id); });
    case Kind::kMachinesReceiveNothing:
      return each_machine([&](const std::string& id) {
        message_faults_.cannot_receive.insert(id);
        at_end([this, id] { message_faults_.cannot_receive.erase(id); });
      });
    case Kind::kMachinesReachNoController:
      return each_machine([&](const std::string& id) {
        message_faults_.cannot_send.insert(id);
        at_end([this, id] { message_faults_.cannot_send.erase(id); });
      });
    case Kind::kMachinesHang:
      return each_machine([&](const std::string& id) { HangMachine(id, t.span); });
    case Kind::kCancelNow:
      return CancelRunningJobs(t);
    case Kind::kCancelAtEnd:
      cancel_at_end_share_ = t.share;
      return at_end([this] { cancel_at_end_share_ = 0; });
    case Kind::kQueryBursts:
      query_bursts_ = true;
      return at_end([this] { query_bursts_ = false; });
    case Kind::kUnusualRequests:
      unusual_requests_ = true;
      SendUnusualRequests();
      return at_end([this] { unusual_requests_ = false; });
    case Kind::kHeartbeatsHeldForNextLeader:
      message_faults_.held_heartbeat_share = t.share;
      return at_end([this] { message_faults_.held_heartbeat_share = 0; });
    case Kind::kHandover:
      for (size_t i = 0; i < nodes_.size(); ++i) {
        const bool leads = LeaderIndex() == static_cast<int>(i);
        if (!nodes_[i].controller ||
            !(t.who == "all" || t.who == NodeName(i) || (t.who == "leader" && leads))) {
          continue;
        }
        RecordNote("retires " + NodeName(i));
        nodes_[i].controller->BeginHandover(now_);
        ProcessNodeEffects(i);
        Schedule(now_ + Millis(1200), [this, i, incarnation = nodes_[i].incarnation,
                                       back = std::max(t.span, Seconds(2))] {
          if (nodes_[i].incarnation == incarnation) KillNode(i, back);
        });
        if (t.who == "leader") break;
      }
      return;
    case Kind::kStateLimits:
      state_limits_ = t.limits;
      if (state_) state_->SetLimits(StoreLimits());
      return;
    case Kind::kRestore:
      return RestoreStateBackup();
    case Kind::kLimit:
      for (Team& team : teams_) {
        if (team.name != t.team) continue;
        const auto record_limit = [this, team = t.team](int64_t cpu) {
          Event e;
          e.kind = Event::Kind::kLimit;
          e.text = team;
          e.number = static_cast<uint64_t>(cpu);
          RecordEvent(e);
        };
        // While the controllers of all cells restart, the higher of the two limits applies. A cell
        // that runs more than its share of a lower limit stops no task, while the other cells start
        // tasks within their shares: so the new limit holds once the earlier tasks have ended.
        Micros longest;
        for (const JobClass& c : scenario_.classes) longest = std::max(longest, c.run.Scaled(1.5));
        record_limit(std::max(team.limit.cpu, t.cpus_max));
        Schedule(now_ + t.span + longest + Seconds(15),
                 [record_limit, cpu = t.cpus_max] { record_limit(cpu); });
        team.limit.cpu = t.cpus_max;
      }
      // A rolling restart.
      for (size_t i = 0; i < nodes_.size(); ++i) {
        Schedule(now_ + t.span.Scaled(static_cast<double>(i) / 3),
                 [this, i] { KillNode(i, RandomDuration(1, 2)); });
      }
      return;
    case Kind::kPartition: {
      if (t.who.starts_with("cell-")) {
        context_->cell_partitions.push_back({t.who.substr(5), t.whom.substr(5), now_ + t.span});
        return;
      }
      if (t.who == "followers") {
        for (size_t i = 0; i < nodes_.size(); ++i) {
          if (static_cast<int>(i) != LeaderIndex()) {
            partitions_.push_back({NodeName(i), t.whom, now_ + t.span, t.resets});
          }
        }
        return;
      }
      const auto host = [&](const std::string& who) {
        return who == "leader" ? NodeName(static_cast<size_t>(std::max(LeaderIndex(), 0))) : who;
      };
      partitions_.push_back({host(t.who), host(t.whom), now_ + t.span, t.resets});
      return;
    }
    case Kind::kMachinesFail:
      return each_machine([&](const std::string& id) {
        workers_.at(id).fails_tasks = true;
        Schedule(now_ + t.span, [this, id] {
          if (workers_.contains(id)) workers_.at(id).fails_tasks = false;
        });
      });
    case Kind::kMachinesDie:
      return each_machine([&](const std::string& id) { OnMachineGone(id); });
  }
}

}  // namespace badgershore::rehearsal
