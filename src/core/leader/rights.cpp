#include "core/leader/rights.h"

#include <algorithm>

#include "core/leader/job_table.h"
#include "core/leader/quota_checker.h"
#include "core/leader/usage_accounting.h"

namespace badgershore {
namespace {

constexpr Micros kSpeakEvery = Millis(500);
constexpr Micros kMeasureEvery = Millis(300);
constexpr Micros kForgetLeader = Seconds(3);  // then all of its cell's controllers are told
// What is taken and acknowledged meanwhile shares a write: the state service takes few.
constexpr Micros kWritePause = Millis(400);
// A team that has had room below its limit for so long waits for machines, not for rights.
constexpr Micros kOtherCause = Seconds(20);

limits::Four Whole(const Team& t) {
  const auto limit = [](int64_t said) { return said > 0 ? said : limits::kUnlimited; };
  return {limit(t.limit.cpu), limit(t.limit.gpu), t.guarantee.cpu, t.guarantee.gpu};
}

}  // namespace

limits::Settings LimitsSettings(const CellsPlan& plan) {
  limits::Settings out;
  out.self = plan.self;
  for (const CellSite& c : plan.cells)
    out.cells.push_back({c.name, c.initial_member, c.draining, c.successor});
  return out;
}

Rights::Rights(const LeaderContext* context) : Part(context), waits_(settings().teams.size()) {
  if (options().cells.cells.empty()) return;
  escrow_ = std::make_unique<limits::Escrow>(LimitsSettings(options().cells));
  limits::Amounts whole;
  for (const Team& t : settings().teams) whole[t.name] = Whole(t);
  escrow_->SetWhole(whole);
}

void Rights::Load(const Entry& e) {
  const auto* record = std::get_if<limits::EscrowRecord>(&e.value);
  if (!record || e.key != keys::kEscrow) return;
  read_ = *record;
  stamp_ = e.version;
}

void Rights::Begin(Micros now) {
  if (alone()) return;
  escrow_->Load(read_, static_cast<uint64_t>(TimeOfDay(now)));
  read_.reset();
  Measure(now);
  Apply();
}

void Rights::Tick(Micros now) {
  if (alone() || !escrow_->loaded()) return;
  if (now >= measure_at_) {
    measure_at_ = now + kMeasureEvery;
    Measure(now);
    escrow_->Tick(TimeOfDay(now));
  }
  Apply();
  Write(now);
  if (now >= speak_at_) Speak(now);
  const std::string& why = escrow_->standing_by();
  if (!why.empty() && why != told_) {
    told_ = why;
    asker()->Log(LogLine::Level::kError, "limits stand by, only the floor is used: " + why);
  }
}

// What each team has, and what it could use beside that if it had the right to.
void Rights::Measure(Micros now) {
  const size_t teams = settings().teams.size();
  std::vector<limits::Need> needs(teams);
  std::vector<Resources> waiting(teams), all(teams), largest(teams);
  std::vector<const Job*> gangs(teams, nullptr), allowed(teams, nullptr);
  for (const auto& [id, job] : job_table().jobs()) {
    if (job->team < 0 || job->finishing) continue;
    const auto t = static_cast<size_t>(job->team);
    all[t] = all[t] + job->spec.need.Times(job->remaining());
    const int open = job->remaining() - job->placed;
    if (open <= 0) continue;
    limits::Need& need = needs[t];
    const bool whole = job->IsGang() || job->IsService();
    const Resources once = job->spec.need.Times(whole ? open : 1);
    if (waiting[t] == Resources{}) need.since_ms = job->spec.submitted_ms;
    waiting[t] = waiting[t] + job->spec.need.Times(open);
    largest[t] = {std::max(largest[t].cpu, once.cpu), std::max(largest[t].gpu, once.gpu), 0};
    need.since_ms = std::min(need.since_ms, job->spec.submitted_ms);
    need.rank = std::min(need.rank, static_cast<int>(job->spec.priority));
    if (job->IsGang() && job->placed == 0 && job->quota_blocked_since < kNever &&
        (!gangs[t] || std::tie(job->spec.priority, job->spec.submitted_ms) <
                          std::tie(gangs[t]->spec.priority, gangs[t]->spec.submitted_ms))) {
      gangs[t] = job.get();
    }
    if (quota_checker().Allows(*job, whole ? open : 1)) allowed[t] = job.get();
  }
  for (size_t t = 0; t < teams; ++t) {
    const Team& team = settings().teams[t];
    limits::Need& need = needs[t];
    const Resources used =
        usage_accounting().Used(static_cast<int>(t)) + usage_accounting().uncertain_use();
    need.used = {used.cpu, used.gpu, 0, 0};
    // Where rights are there and work waits all the same, more rights would lie idle.
    waits_[t].since = allowed[t] ? std::min(waits_[t].since, now) : kNever;
    const bool other_cause = allowed[t] && now - waits_[t].since > kOtherCause;
    const auto some = [&](int64_t waits, int64_t has, int64_t once) {
      return other_cause ? std::min(waits, std::max(has / 10, once)) : waits;
    };
    need.more = {some(waiting[t].cpu, used.cpu, largest[t].cpu),
                 some(waiting[t].gpu, used.gpu, largest[t].gpu),
                 std::min(all[t].cpu, team.guarantee.cpu),
                 std::min(all[t].gpu, team.guarantee.gpu)};
    if (gangs[t]) {
      const Resources gang = gangs[t]->spec.need.Times(gangs[t]->remaining());
      need.whole = true;
      need.rank = static_cast<int>(gangs[t]->spec.priority);
      need.since_ms = gangs[t]->spec.submitted_ms;
      need.more[limits::kLimitCpu] = gang.cpu;
      need.more[limits::kLimitGpu] = gang.gpu;
    }
    escrow_->SetNeed(team.name, need);
  }
}

void Rights::Apply() {
  for (size_t t = 0; t < settings().teams.size(); ++t) {
    const std::string& name = settings().teams[t].name;
    const auto may = [&](limits::Kind kind) { return escrow_->Usable(name, kind); };
    quota_checker().SetQuota(static_cast<int>(t),
                             {may(limits::kLimitCpu), may(limits::kLimitGpu), 0},
                             {may(limits::kGuaranteeCpu), may(limits::kGuaranteeGpu), 0});
  }
}

void Rights::OnNote(Micros now, const limits::CellMessage& note) {
  if (alone() || !escrow_->OnNote(note, TimeOfDay(now))) return;
  leaders_[note.from] = note.node;
  heard_at_[note.from] = now;
  Apply();
  Write(now);
}

void Rights::Speak(Micros now) {
  speak_at_ = now + kSpeakEvery;
  for (limits::CellMessage& note : escrow_->Notes()) {
    note.node = settings().peer_listen;
    note.term = election()->term();
    CellDelivery send;
    auto heard = heard_at_.find(note.to);
    if (heard != heard_at_.end() && now - heard->second < kForgetLeader) {
      send.addresses = {leaders_[note.to]};
    } else {
      for (const CellSite& c : options().cells.cells) {
        if (c.name == note.to) send.addresses = c.addresses;
      }
    }
    send.message = std::move(note);
    asker()->out.cell_deliveries.push_back(std::move(send));
  }
}

// Guarded by the term and by the version that was read: nobody else's word can be overwritten, and
// what is sent again after an answer that did not come is the same to the letter.
void Rights::Write(Micros now) {
  if (writing_ || now < write_at_ || !election()->leads()) return;
  const std::optional<limits::EscrowRecord> record = escrow_->ToWrite();
  if (!record) return;
  writing_ = true;
  StateRequest op;
  op.kind = StateRequest::Kind::kCompareAndSwap;
  op.preconditions = {{keys::kTerm, election()->term_stamp()}, {keys::kEscrow, stamp_}};
  op.mutations.push_back({keys::kEscrow, false, *record, 0});
  asker()->State(op, Guarded([this, number = record->number](Micros t, StateResponse& r) {
                   Written(t, r, number);
                 }));
}

void Rights::Written(Micros now, StateResponse& r, uint64_t number) {
  writing_ = false;
  if (r.ok()) {
    stamp_ = r.revision;
    write_at_ = now + kWritePause;
    escrow_->Written(number);
    Apply();
    speak_at_ = now;  // what waits for it is told at once
    return;
  }
  if (r.outcome == StateResponse::Outcome::kConflict &&
      std::find(r.failed_keys.begin(), r.failed_keys.end(), keys::kTerm) != r.failed_keys.end()) {
    return election()->StepDown(now, "the term has moved on");
  }
  write_at_ = now + Millis(300);
  if (r.outcome == StateResponse::Outcome::kRefused) return;  // the same once more
  LookAgain(now, number);
}

void Rights::LookAgain(Micros now, uint64_t number) {
  (void)now;
  writing_ = true;
  StateRequest get;
  get.key = keys::kEscrow;
  asker()->State(get, Guarded([this, number](Micros t, StateResponse& g) {
                   writing_ = false;
                   write_at_ = t + Millis(300);
                   if (!g.ok() || g.entries.empty()) return;  // the same once more
                   const Entry& e = g.entries[0];
                   const auto* record = std::get_if<limits::EscrowRecord>(&e.value);
                   if (record && record->number == number) {
                     stamp_ = e.version;
                     escrow_->Written(number);
                     Apply();
                     speak_at_ = t;
                   } else if (e.version != stamp_) {
                     election()->StepDown(t, "the record of limits is another's");
                   }
                 }));
}

std::string Rights::Summary() const {
  if (alone()) return "";
  return escrow_->standing_by().empty()
             ? "; cells not heard " + std::to_string(escrow_->Unheard().size())
             : "; limits stand by";
}

}  // namespace badgershore
