// One controller: election, the users' requests and, while it leads, its term.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "core/api/job_api.h"
#include "core/election/election.h"
#include "core/leader/leader.h"
#include "core/outbox/outbox.h"
#include "membership/members.h"

namespace badgershore {

class Controller {
 public:
  Controller(PlatformSettings settings, Options options);

  // Inputs. `now` never goes back.
  void Tick(Micros now, int64_t time_of_day_ms);
  void OnState(Micros now, RequestId id, StateResponse reply);
  void OnCloud(Micros now, RequestId id, CloudResponse reply);
  void OnDirect(Micros now, RequestId id, CommandResponse reply);
  void OnCheckin(Micros now, RequestId token, const Heartbeat& report);
  void OnSubmit(Micros now, RequestId token, Submission submission);
  void OnQuery(Micros now, RequestId token, const std::string& job);
  void OnWithdraw(Micros now, RequestId token, const std::string& job);
  void OnPeer(Micros now, const PeerStatus& note);
  void OnMember(Micros now, const membership::Message& message);
  void OnCell(Micros now, const limits::CellMessage& note);

  // It is to end: a leader gives its place to the fittest peer; asked again until `retired`.
  void Retire(Micros now);
  bool retired() const { return retiring_ && !election_->leads(); }

  bool Healthy(Micros now) const;
  bool leads() const { return election_->leads(); }
  Effects Take() { return std::exchange(outbox_.effects, Effects{}); }
  // Who of the cell's controllers seems to be there; null before the first tick.
  const membership::Members* members() const { return members_ ? &*members_ : nullptr; }
  const Leader* leader() const { return leader_.get(); }

 private:
  void OnControl(Micros now, const Entry& e);
  bool TypesKnown() const;
  std::string NeverRuns(const JobSpec& spec) const;
  JobStatus DigestOf(const std::string& job) const;
  void WatchPeers(Micros now);
  int Turn(Micros now) const;
  std::string Successor(Micros now) const;
  std::string LeaderName(Micros now) const;
  void GiveWay(Micros now);
  PeerStatus NoteOf(Micros now) const;
  void CallOff(Micros now, const std::string& job, bool recorded);

  PlatformSettings settings_;
  Options options_;
  Outbox outbox_;
  std::map<std::string, MachineType> types_;
  int type_count_ = -1;
  std::unique_ptr<Election> election_;
  std::unique_ptr<JobApi> job_api_;
  std::unique_ptr<Leader> leader_;
  std::unique_ptr<Leader> former_;  // freed when no call of its is on the stack
  int64_t time_of_day_ms_ = 0;
  Micros state_ok_at_{-1000000000};
  Micros checkin_at_{-1000000000};  // the last report of a worker
  Micros look_at_, note_at_;
  bool looking_ = false;
  bool retiring_ = false;
  Micros retire_by_;  // what is being recorded is not waited for any longer
  struct Peer {
    Micros heard_at;
    PeerStatus note;
  };
  std::map<std::string, Peer> peers_;
  std::optional<membership::Members> members_;
  std::set<std::string> firm_;  // suspicions that were logged
  std::unordered_map<std::string, JobStatus> digests_;
  uint64_t digest_term_ = 0;
};

}  // namespace badgershore
