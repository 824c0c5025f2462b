// Explores which tasks a cell's controllers keep running and start (the production code of
// core/election and core/outbox) with one agent and one task of one job, which is cancelled. The
// state service refuses one controller, is down for all, or withholds responses to lists and
// watches; the agent switches to the other controller; controllers restart. A third controller,
// which never leads, records the cancellation and tells the user of it. Explores every order of
// these events; time advances by a second at a time.
#pragma once

#include <string>
#include <vector>

#include "check/explore.h"

namespace badgershore::check {

enum class AuthorityFault {
  kNone,
  kCountFromRenewal,       // job records count as current since the leader's last lease renewal
  kAnswerBeforeRead,       // heartbeats are answered before the job records are read
  kCountFromArrival,       // job records count as current since a watch response arrived
  kNoStopInFirstResponse,  // the first heartbeat response of a term stops no task
  kReportWhenRecorded,     // users are told of a cancellation as soon as it is recorded
  kConfirmPastLease        // a leader confirms cancellations after its lease has expired
};

struct CancelPlan {
  int seconds = 16, faults = 4;  // bounds on simulated time and on the number of faults
  AuthorityFault fault = AuthorityFault::kNone;
  std::vector<std::string> initial_events;  // events applied before the exploration
  // Whether controllers are also paused and cut from the one that records the cancellation, and no
  // task may start once the job's user has been told of the cancellation.
  bool confirmations = false;
};

ReplayedWorld CancelModel(const CancelPlan& plan);

}  // namespace badgershore::check
