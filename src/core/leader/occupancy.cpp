#include "core/leader/occupancy.h"

#include "core/leader/job_table.h"
#include "core/leader/machine_table.h"

namespace badgershore {

Occupancy::Occupancy(const LeaderContext* context)
    : Part(context), teams_(settings().teams.size() + 1) {
  for (size_t i = 0; i < settings().teams.size(); ++i) {
    const Resources& said = settings().teams[i].limit;
    teams_[i + 1].limit = {said.cpu > 0 ? said.cpu : limits::kUnlimited,
                           said.gpu > 0 ? said.gpu : limits::kUnlimited, 0};
    teams_[i + 1].guarantee = settings().teams[i].guarantee;
  }
}

int Occupancy::TeamOf(const std::string& name) const {
  for (size_t i = 0; i < settings().teams.size(); ++i) {
    if (settings().teams[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

Allocation* Occupancy::Place(Micros now, Machine* m, Job* job, int task, uint64_t attempt) {
  TaskState& t = job->tasks[static_cast<size_t>(task)];
  t.stage = TaskStage::kPlaced;
  t.machine = m;
  t.bound_at = now;
  t.attempt = attempt;
  if (!job->IsGang()) job->progressed_at = now;
  Allocation* o = Enter(m, {job->spec.id, task}, attempt, job);
  o->sent_epoch = m->agent_epoch;
  o->sent_sequence = m->sequence;
  m->RecordImageUse(job->spec.image);
  m->idle_since = {-1};
  if (job->IsGang()) m->last_gang_at = now;
  return o;
}

Allocation* Occupancy::Enter(Machine* m, const TaskRef& ref, uint64_t attempt, Job* job) {
  auto [it, fresh] = m->allocations.try_emplace({ref, attempt});
  if (!fresh) {
    Uncount(m, &it->second);
    it->second = Allocation{};
  }
  Allocation& o = it->second;
  o.ref = ref;
  o.attempt = attempt;
  o.job = job;
  if (job) {
    o.need = job->spec.need;
    o.team = job->team;
    ++job->placed;
    ++job->zone_count[m->zone];
  }
  if (job && !job->IsGang() && !job->IsService()) {
    o.preemptible_priority = static_cast<int>(job->spec.priority);
  }
  Count(m, &o);
  return &o;
}

void Occupancy::Count(Machine* m, Allocation* o) {
  o->counted = true;
  m->used = m->used + o->need;
  TeamCount& team = teams_[static_cast<size_t>(o->team + 1)];
  team.used = team.used + o->need;
  if (o->preemptible_priority >= 0)
    team.soft[Index(o->preemptible_priority)] = team.soft[Index(o->preemptible_priority)] + o->need;
  m->unknown_tasks += o->team < 0;
  Review(m);
}

void Occupancy::Uncount(Machine* m, Allocation* o) {
  if (!std::exchange(o->counted, false)) return;
  m->used = m->used - o->need;
  TeamCount& team = teams_[static_cast<size_t>(o->team + 1)];
  team.used = team.used - o->need;
  if (o->preemptible_priority >= 0)
    team.soft[Index(o->preemptible_priority)] = team.soft[Index(o->preemptible_priority)] - o->need;
  m->unknown_tasks -= o->team < 0;
  Review(m);
}

void Occupancy::Review(Machine* m) {
  const bool murky = !m->reconciled || m->unknown_tasks > 0;
  const Resources now = murky && m->type ? m->type->size - m->used : Resources{};
  doubt_ = doubt_ - m->uncertain_use + now;
  m->uncertain_use = now;
  unbounded_ += static_cast<int>(murky && !m->type) - static_cast<int>(m->uncertain_use_unbounded);
  m->uncertain_use_unbounded = murky && !m->type;
}

void Occupancy::Vacate(Allocation* o, const Machine& m) {
  if (!o->job || o->exited()) return;
  --o->job->placed;
  --o->job->zone_count[m.zone];
  if (o->phase == TaskPhase::kRunning) --o->job->running;
}

void Occupancy::Became(Allocation* o, TaskPhase state) {
  if (o->job && state == TaskPhase::kRunning && o->phase != TaskPhase::kRunning) ++o->job->running;
  if (o->job && state != TaskPhase::kRunning && o->phase == TaskPhase::kRunning) --o->job->running;
  o->phase = state;
}

void Occupancy::Exited(Machine* m, Allocation* o, ExitReason cause) {
  Vacate(o, *m);
  Uncount(m, o);
  o->phase = TaskPhase::kExited;
  o->exit_reason = cause;
}

Occupancy::Occupants::iterator Occupancy::Erase(Machine* m, Occupants::iterator it) {
  Vacate(&it->second, *m);
  Uncount(m, &it->second);
  return m->allocations.erase(it);
}

void Occupancy::Clear(Machine* m) {
  for (auto it = m->allocations.begin(); it != m->allocations.end();) it = Erase(m, it);
}

void Occupancy::Disown(Machine* m, const Job* job) {
  for (auto& [key, o] : m->allocations) {
    if (o.job == job) o.job = nullptr;
  }
}

void Occupancy::SetRights(int team, const Resources& limit, const Resources& guarantee) {
  teams_[static_cast<size_t>(team + 1)].limit = limit;
  teams_[static_cast<size_t>(team + 1)].guarantee = guarantee;
}

Resources Occupancy::After(const Job& job, int more) const {
  const TeamCount& t = teams_[static_cast<size_t>(job.team + 1)];
  Resources use = t.used + doubt_ + job.spec.need.Times(more);
  for (int rank = 0; rank <= static_cast<int>(job.spec.priority); ++rank) {
    // What a gang of higher rank can't use yet does not lie idle for ever: it is given to work that
    // was passed over for long, which makes way when the gang can start.
    if (job.starved && rank < static_cast<int>(job.spec.priority)) continue;
    // Of gangs of its own rank an array lets one go first, or gangs without end would starve it.
    const bool all = job.IsGang() || rank < static_cast<int>(job.spec.priority);
    use = use + (all ? t.claims : t.first)[Index(rank)];
  }
  return use;
}

bool Occupancy::LimitAllows(const Job& job, int more) const {
  if (!Limited(job.team)) return true;
  if (unbounded_ > 0) return false;
  const Resources& limit = Limit(job.team);
  const Resources use = After(job, more);
  return use.cpu <= limit.cpu && use.gpu <= limit.gpu;
}

Resources Occupancy::LimitShort(const Job& job, int more) const {
  if (!Limited(job.team)) return {};
  const Resources& limit = Limit(job.team);
  const Resources use = After(job, more);
  return {std::max<int64_t>(0, use.cpu - limit.cpu), std::max<int64_t>(0, use.gpu - limit.gpu), 0};
}

bool Occupancy::LimitCouldAllow(const Job& job, int more) const {
  if (!Limited(job.team)) return true;
  Resources soft;
  const TeamCount& t = teams_[static_cast<size_t>(job.team + 1)];
  for (int rank = static_cast<int>(job.spec.priority) + 1; rank < 4; ++rank) {
    soft = soft + t.soft[Index(rank)];
  }
  const Resources missing = LimitShort(job, more);
  return unbounded_ == 0 && missing.cpu <= soft.cpu && missing.gpu <= soft.gpu;
}

int64_t Occupancy::FirmRoom(int team, Priority rank) const {
  if (!Limited(team) || Limit(team).cpu >= limits::kUnlimited) return INT64_MAX;
  const TeamCount& t = teams_[static_cast<size_t>(team + 1)];
  int64_t firm = t.used.cpu;
  for (int r = static_cast<int>(rank) + 1; r < 4; ++r) firm -= t.soft[Index(r)].cpu;
  return std::max<int64_t>(0, t.limit.cpu - firm);
}

void Occupancy::Claim(const Job& gang, int members) {
  if (!Limited(gang.team)) return;
  TeamCount& t = teams_[static_cast<size_t>(gang.team + 1)];
  const auto rank = static_cast<size_t>(gang.spec.priority);
  const Resources need = gang.spec.need.Times(members);
  if (t.claims[rank] == Resources{}) t.first[rank] = need;
  t.claims[rank] = t.claims[rank] + need;
}

void Occupancy::DropClaims() {
  for (TeamCount& t : teams_) t.claims = t.first = {};
}

bool Occupancy::ZoneAllows(const Job& job, const std::string& zone) const {
  if (job.spec.same_zone) {
    for (const auto& [z, n] : job.zone_count) {
      if (n > 0 && z != zone) return false;
    }
  }
  if (job.spec.spread) {
    auto it = job.zone_count.find(zone);
    if (it != job.zone_count.end() && it->second >= (job.spec.tasks + 1) / 2) return false;
  }
  return true;
}

std::string Occupancy::Summary() const {
  std::string out;
  for (size_t i = 0; i < settings().teams.size(); ++i) {
    if (!Limited(static_cast<int>(i))) continue;
    Resources claimed;
    for (const Resources& c : teams_[i + 1].claims) claimed = claimed + c;
    out += "; " + settings().teams[i].name + " uses " +
           std::to_string(teams_[i + 1].used.cpu / 1000) + " of " +
           std::to_string(teams_[i + 1].limit.cpu / 1000) + ", gangs claim " +
           std::to_string(claimed.cpu / 1000) + ", in doubt " + std::to_string(doubt_.cpu / 1000);
  }
  return out;
}

std::string Occupancy::Fault() const {
  struct Tasks {
    int placed = 0, running = 0;
    std::map<std::string, int> zones;
  };
  std::vector<TeamCount> teams(teams_.size());
  std::map<const Job*, Tasks> tasks;
  Resources doubt;
  for (const auto& [id, m] : machine_table().machines()) {
    Resources here;
    int unknown = 0;
    for (const auto& [key, o] : m->allocations) {
      if (o.exited()) continue;
      here = here + o.need;
      unknown += o.team < 0;
      TeamCount& team = teams[static_cast<size_t>(o.team + 1)];
      team.used = team.used + o.need;
      if (o.preemptible_priority >= 0)
        team.soft[Index(o.preemptible_priority)] =
            team.soft[Index(o.preemptible_priority)] + o.need;
      if (!o.job) continue;
      Tasks& t = tasks[o.job];
      ++t.placed;
      t.running += o.phase == TaskPhase::kRunning;
      ++t.zones[m->zone];
    }
    if (!(here == m->used) || unknown != m->unknown_tasks) return "what is on " + id;
    if (m->type && (!m->reconciled || unknown > 0)) doubt = doubt + (m->type->size - here);
  }
  if (!(doubt == doubt_)) return "what may be on machines beside what is known";
  for (size_t i = 0; i < teams.size(); ++i) {
    if (teams[i].used == teams_[i].used && teams[i].soft == teams_[i].soft) continue;
    return "the use of " + (i == 0 ? std::string("no team") : settings().teams[i - 1].name) + ": " +
           std::to_string(teams_[i].used.cpu) + " for " + std::to_string(teams[i].used.cpu);
  }
  for (const auto& [id, job] : job_table().jobs()) {
    const Tasks& t = tasks[job.get()];
    bool same = t.placed == job->placed && t.running == job->running;
    for (const auto& [zone, n] : job->zone_count) {
      auto it = t.zones.find(zone);
      same = same && n == (it == t.zones.end() ? 0 : it->second);
    }
    if (!same) return "tasks of " + id;
  }
  return "";
}

}  // namespace badgershore
