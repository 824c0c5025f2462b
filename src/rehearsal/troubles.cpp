// Injects the faults of a scenario and ends them.
#include <algorithm>

#include "rehearsal/world.h"

namespace badgershore::rehearsal {

void World::Strike(const Trouble& t) {
  using Kind = Trouble::Kind;
  const auto until = [&](std::function<void()> then) { Later(now_ + t.span, std::move(then)); };
  const auto each_machine = [&](auto then) {
    std::vector<std::string> ids;
    for (const auto& [id, w] : workers_) ids.push_back(id);
    for (const std::string& id : ids) {
      if (Chance() < t.share) then(id);
    }
  };
  Note("trouble " + std::to_string(static_cast<int>(t.kind)) + " begins");
  switch (t.kind) {
    case Kind::kCloudDown:
      cloud_.down = true;
      return until([this] { cloud_.down = false; });
    case Kind::kCloudEmpty:
      cloud_.empty = true;
      return until([this] { cloud_.empty = false; });
    case Kind::kGrantsVanish:
      cloud_.vanish_share = t.share;
      return until([this] { cloud_.vanish_share = 0; });
    case Kind::kBootsNever:
      cloud_.never_share = t.share;
      return until([this] { cloud_.never_share = 0; });
    case Kind::kSpotWave:
      return each_machine([&](const std::string& id) {
        Worker& w = workers_.at(id);
        if (!w.record.spot) return;
        const Micros notice = Chance() < 0.3 ? Micros{} : Between(4, 12);
        if (notice > Micros{}) {
          w.agent->SetNotice(now_, notice);
          PumpMachine(id);
        }
        Later(now_ + notice, [this, id] { cloud_.Take(now_, id); });
      });
    case Kind::kStateDown:
      state_down_ = true;
      return until([this] {
        state_down_ = false;
        if (state_) state_->RenewAllLeases(now_);
      });
    case Kind::kStateMute:
      mute_share_ = t.share;
      return until([this] { mute_share_ = 0; });
    case Kind::kStateLate:
      late_share_ = t.share;
      late_until_ = now_ + t.span;
      return until([this] { late_share_ = 0; });
    case Kind::kStateRestart:
      return RestartState(std::max(t.span, Millis(200)));
    case Kind::kDiskFull:
      disk_full_ = true;
      return until([this] { disk_full_ = false; });
    case Kind::kKill:
      for (size_t i = 0; i < nodes_.size(); ++i) {
        const bool leads = Leader() == static_cast<int>(i);
        if (t.who == "all" || t.who == NodeName(i) || (t.who == "leader" && leads)) {
          const Micros usual = Between(2, 4);
          KillNode(i, t.span.count > 0 ? t.span : usual);
          if (t.who == "leader") break;
        }
      }
      return;
    case Kind::kStateRefuses:
    case Kind::kFreeze:
      for (size_t i = 0; i < nodes_.size(); ++i) {
        const bool leads = Leader() == static_cast<int>(i);
        if (t.who != NodeName(i) && !(t.who == "leader" && leads)) continue;
        (t.kind == Kind::kFreeze ? nodes_[i].frozen_until : nodes_[i].refused_until) =
            now_ + t.span;
        break;
      }
      return;
    case Kind::kStateSlow:
      distortions_.slow_state = t.share;
      return until([this] { distortions_.slow_state = 0; });
    case Kind::kLateWrites:
      distortions_.late_writes = t.share;
      return until([this] { distortions_.late_writes = 0; });
    case Kind::kLateReports:
      distortions_.late_reports = t.share;
      return until([this] { distortions_.late_reports = 0; });
    case Kind::kDeaf:
      return each_machine([&](const std::string& id) {
        distortions_.deaf.insert(id);
        until([this, id] { distortions_.deaf.erase(id); });
      });
    case Kind::kMute:
      return each_machine([&](const std::string& id) {
        distortions_.mute.insert(id);
        until([this, id] { distortions_.mute.erase(id); });
      });
    case Kind::kHang:
      return each_machine([&](const std::string& id) { Hang(id, t.span); });
    case Kind::kCancelNow:
      return CallOff(t);
    case Kind::kCancelAtEnd:
      cancel_at_end_ = t.share;
      return until([this] { cancel_at_end_ = 0; });
    case Kind::kCloseLooks:
      look_closely_ = true;
      return until([this] { look_closely_ = false; });
    case Kind::kOddRequests:
      odd_ = true;
      RequestOddly();
      return until([this] { odd_ = false; });
    case Kind::kReportsForNext:
      distortions_.reports_for_next = t.share;
      return until([this] { distortions_.reports_for_next = 0; });
    case Kind::kRetire:
      for (size_t i = 0; i < nodes_.size(); ++i) {
        const bool leads = Leader() == static_cast<int>(i);
        if (!nodes_[i].core ||
            !(t.who == "all" || t.who == NodeName(i) || (t.who == "leader" && leads))) {
          continue;
        }
        Note("retires " + NodeName(i));
        nodes_[i].core->BeginHandover(now_);
        PumpNode(i);
        Later(now_ + Millis(1200),
              [this, i, life = nodes_[i].life, back = std::max(t.span, Seconds(2))] {
                if (nodes_[i].life == life) KillNode(i, back);
              });
        if (t.who == "leader") break;
      }
      return;
    case Kind::kRestore:
      return RestoreState();
    case Kind::kLimit:
      for (Team& team : teams_) {
        if (team.name != t.team) continue;
        const auto says = [this, team = t.team](int64_t cpu) {
          Event e;
          e.kind = Event::Kind::kLimit;
          e.text = team;
          e.number = static_cast<uint64_t>(cpu);
          See(e);
        };
        // While the controllers of all cells restart, the higher of the two limits applies. A cell
        // that runs more than its share of a lower limit stops no task, while the other cells start
        // tasks within their shares: so the new limit holds once the earlier tasks have ended.
        Micros longest;
        for (const JobClass& c : scenario_.classes) longest = std::max(longest, c.run.Scaled(1.5));
        says(std::max(team.limit.cpu, t.cpus_max));
        Later(now_ + t.span + longest + Seconds(15), [says, cpu = t.cpus_max] { says(cpu); });
        team.limit.cpu = t.cpus_max;
      }
      // A rolling restart.
      for (size_t i = 0; i < nodes_.size(); ++i) {
        Later(now_ + t.span.Scaled(static_cast<double>(i) / 3),
              [this, i] { KillNode(i, Between(1, 2)); });
      }
      return;
    case Kind::kCut: {
      if (t.who.starts_with("cell-")) {
        stage_->cuts.push_back({t.who.substr(5), t.whom.substr(5), now_ + t.span});
        return;
      }
      if (t.who == "followers") {
        for (size_t i = 0; i < nodes_.size(); ++i) {
          if (static_cast<int>(i) != Leader()) {
            cuts_.push_back({NodeName(i), t.whom, now_ + t.span, t.resets});
          }
        }
        return;
      }
      const auto host = [&](const std::string& who) {
        return who == "leader" ? NodeName(static_cast<size_t>(std::max(Leader(), 0))) : who;
      };
      cuts_.push_back({host(t.who), host(t.whom), now_ + t.span, t.resets});
      return;
    }
    case Kind::kMachinesFail:
      return each_machine([&](const std::string& id) {
        workers_.at(id).sick = true;
        Later(now_ + t.span, [this, id] {
          if (workers_.contains(id)) workers_.at(id).sick = false;
        });
      });
    case Kind::kMachinesDie:
      return each_machine([&](const std::string& id) { MachineGone(id); });
  }
}

}  // namespace badgershore::rehearsal
