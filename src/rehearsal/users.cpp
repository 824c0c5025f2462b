// The users of a scenario: they submit jobs, query them, cancel them and query them again.
#include <algorithm>

#include "rehearsal/world.h"
#include "wire/json.h"

namespace badgershore::rehearsal {
namespace {

constexpr Micros kSubmitTimeout = Seconds(900);

std::string FormatJob(const JobSpec& s) {
  static const char* const kShapes[] = {"array", "gang", "daemon"};
  static const char* const kRanks[] = {"production", "high", "normal", "idle"};
  wire::Writer w;
  w.Begin().Put("nameId", s.id).Put("lane", s.job_class).Put("owner", s.team);
  w.Put("shape", kShapes[static_cast<size_t>(s.kind)]);
  w.Put("rank", kRanks[static_cast<size_t>(s.priority)]).Put("legs", s.tasks);
  w.Put("cpus", static_cast<double>(s.need.cpu) / 1000);
  w.Put("accelerators", static_cast<double>(s.need.gpu) / 1000);
  w.Put("memGb", static_cast<double>(s.need.mem) / 1000);
  w.Put("kit", s.image).Put("imageGb", s.image_gb).Put("samePlace", s.same_zone);
  w.Put("spread", s.spread)
      .Put("loaners", s.allow_spot)
      .Put("expectS", s.estimated_runtime.ToSeconds());
  w.Put("stashEveryS", s.checkpoint_interval.ToSeconds())
      .Put("stashS", s.checkpoint_duration.ToSeconds());
  if (s.zone) w.Put("yard", *s.zone);
  if (s.deadline) w.Put("dueS", s.deadline->ToSeconds());
  return w.End().Done();
}

}  // namespace

// The jobs and their sizes depend on the scenario alone; only their arrival times are random.
void World::ScheduleJobs() {
  for (size_t c = 0; c < scenario_.classes.size(); ++c) {
    const JobClass& k = scenario_.classes[c];
    if (k.cell.empty() ? cell_ != 0 : k.cell != name_) continue;
    const Micros until = k.until.count > 0 ? k.until : scenario_.duration;
    const int arriving =
        static_cast<int>(k.per_minute * std::max(0.0, (until - k.from).ToSeconds()) / 60);
    std::mt19937_64 size(c + 1);
    for (int i = 0; i < k.at_start + arriving; ++i) {
      UserJob job;
      JobSpec spec = k.spec;
      char id[48];
      std::snprintf(id, sizeof(id), "job-%02zu%05d", c + 1, i + 1);
      spec.id = id;
      spec.tasks = k.min_tasks +
                   static_cast<int>(size() % static_cast<uint64_t>(k.max_tasks - k.min_tasks + 1));
      spec.image =
          k.spec.job_class + "-" + std::to_string(size() % static_cast<uint64_t>(k.images));
      job.run = k.run.Scaled(0.5 + static_cast<double>(size() % 1000) / 1000);
      job.body = FormatJob(spec);
      job.job_class = spec.job_class;
      job.remaining_tasks = spec.tasks;
      job.facts = {spec.id,
                   spec.team,
                   spec.job_class,
                   spec.tasks,
                   spec.need.cpu,
                   spec.need.gpu,
                   spec.zone.value_or(""),
                   spec.same_zone,
                   spec.spread,
                   spec.allow_spot,
                   false,
                   0};
      const double gap = k.per_minute > 0 ? 60 / k.per_minute : 0;
      const Micros at =
          k.from + (i < k.at_start ? RandomDuration(0, 2)
                                   : Seconds((i - k.at_start) * gap) + RandomDuration(0, gap));
      jobs_[id] = job;
      Schedule(now_ + at, [this, spec, run = job.run, failing_task_share = k.failing_task_share,
                           after = k.cancel_after] {
        task_emulator_.AddJob(spec, run, failing_task_share);
        if (after.count > 0) Schedule(now_ + after, [this, id = spec.id] { CancelJob(id); });
        UserJob& j = jobs_.at(spec.id);
        j.submitted = true;
        j.first_submitted = now_;
        Event e;
        e.kind = Event::Kind::kSubmitted;
        e.job = spec.id;
        e.facts = j.facts;
        e.facts.submitted_us = now_.count;
        RecordEvent(e);
        SubmitJob(spec.id, now_);
      });
    }
  }
  for (const Cancellation& w : scenario_.cancellations) {
    if (jobs_.contains(w.job)) Schedule(now_ + w.at, [this, job = w.job] { CancelJob(job); });
  }
}

void World::ProbeNode(size_t index) {
  wire::Call call{"GET", "/healthz", "", Seconds(1)};
  SendRequest("users", "node-" + std::to_string(index), std::move(call),
              [this, index](int status, const std::string&) {
                balancer_.OnProbe(now_, index, status == 200);
              });
  Schedule(now_ + Seconds(1), [this, index] { ProbeNode(index); });
}

// Where the load balancer sends a new connection; a random node while none is healthy.
std::string World::ChooseNode() {
  const std::vector<size_t> order = balancer_.Order(now_, clock_.random());
  return "node-" + std::to_string(order.empty() ? clock_.random() % nodes_.size() : order.front());
}

void World::SubmitJob(const std::string& job, Micros first) {
  wire::Call call{"POST", "/work", jobs_.at(job).body, Seconds(5)};
  SendRequest("users", ChooseNode(), std::move(call), [=, this](int status, const std::string&) {
    UserJob& j = jobs_.at(job);
    Event e;
    e.job = job;
    e.number = static_cast<uint64_t>(std::max(status, 0));
    if (status == 200 || status == 201) {
      e.kind = Event::Kind::kAccepted;
      if (!j.accepted) {
        j.accepted = true;
        Schedule(now_ + RandomDuration(1, 5), [this, job] { PollJob(job, false); });
        if (query_bursts_) SendQueryBurst(job);
        // Now and then the response is lost and the job is submitted again.
        if (RandomFraction() < 0.1)
          Schedule(now_ + RandomDuration(1, 30), [this, job, first] { SubmitJob(job, first); });
      }
      return RecordEvent(e);
    }
    if (status == 400 || status == 422) {
      e.kind = Event::Kind::kRejected;
      j.abandoned = true;
      return RecordEvent(e);
    }
    if (j.accepted) return;
    if (now_ - first > kSubmitTimeout) {
      j.abandoned = true;
      return RecordNote("gives up " + job);
    }
    Schedule(now_ + Seconds(1), [=, this] { SubmitJob(job, first); });
  });
}

void World::PollJob(const std::string& job, bool is_recheck) {
  wire::Call call{"GET", "/work/" + job, "", Seconds(2)};
  const int64_t requested_us = now_.count;
  SendRequest(
      "users", ChooseNode(), std::move(call), [=, this](int status, const std::string& body) {
        UserJob& j = jobs_.at(job);
        Event e;
        e.job = job;
        e.requested_us = requested_us;
        rapidjson::Document doc;
        if (status == 200 && wire::ParseObject(body, &doc)) {
          e.kind = Event::Kind::kStatusReported;
          e.text = wire::Text(doc, "phase");
          RecordEvent(e);
          const bool final = e.text == "done" || e.text == "withdrawn";
          if (final && !j.is_final) {
            j.is_final = true;
            if (query_bursts_) SendQueryBurst(job);
            if (e.text == "done")
              context_->result.waits[j.job_class].push_back((now_ - j.first_submitted).ToSeconds());
          }
          if (final && is_recheck) {
            j.rechecked = true;
            return;
          }
          // A query at any later time must get the same final phase.
          const Micros next =
              final ? RandomDuration(scenario_.recheck_least_s, scenario_.recheck_most_s)
                    : RandomDuration(4, 6);
          return Schedule(now_ + next, [=, this] { PollJob(job, final); });
        }
        e.kind = status == 404 ? Event::Kind::kUnknownJob : Event::Kind::kNoAnswer;
        RecordEvent(e);
        Schedule(now_ + RandomDuration(1, 5), [=, this] { PollJob(job, is_recheck); });
      });
}

void World::CancelJob(const std::string& job) {
  const UserJob& known = jobs_.at(job);
  if (!known.accepted)
    return Schedule(now_ + Seconds(1), [this, job] {
      if (!jobs_.at(job).abandoned) CancelJob(job);
    });
  jobs_.at(job).cancel_requested = true;
  Event cancel_event;
  cancel_event.kind = Event::Kind::kCancelRequested;
  cancel_event.job = job;
  RecordEvent(cancel_event);
  wire::Call call{"POST", "/work/" + job + "/withdraw", "", Seconds(5)};
  SendRequest("users", ChooseNode(), std::move(call),
              [=, this](int status, const std::string& body) {
                rapidjson::Document doc;
                Event e;
                e.job = job;
                if (status == 200 && wire::ParseObject(body, &doc)) {
                  e.kind = Event::Kind::kStatusReported;
                  e.text = wire::Text(doc, "phase");
                  RecordEvent(e);
                  if (e.text == "done" || e.text == "withdrawn") jobs_.at(job).is_final = true;
                  if (query_bursts_) SendQueryBurst(job);
                  return;
                }
                Schedule(now_ + Seconds(1), [this, job] { CancelJob(job); });
              });
}

void World::QueryUnknownJob() {
  wire::Call call{"GET", "/work/job-99999999", "", Seconds(2)};
  SendRequest("users", ChooseNode(), std::move(call), [this](int status, const std::string&) {
    if (status != 200) return;
    Event e;
    e.kind = Event::Kind::kStatusReported;
    e.job = "job-99999999";
    e.text = "pending";
    RecordEvent(e);
  });
  Schedule(now_ + Seconds(29), [this] { QueryUnknownJob(); });
}

// A query without a retry; the checker counts its response like any other.
void World::QueryOnce(const std::string& job, const std::string& node) {
  wire::Call call{"GET", "/work/" + job, "", Seconds(2)};
  const int64_t requested_us = now_.count;
  SendRequest("users", node, std::move(call), [=, this](int status, const std::string& body) {
    rapidjson::Document doc;
    Event e;
    e.job = job;
    e.requested_us = requested_us;
    if (status == 200 && wire::ParseObject(body, &doc)) {
      e.kind = Event::Kind::kStatusReported;
      e.text = wire::Text(doc, "phase");
      RecordEvent(e);
    } else if (status == 404) {
      e.kind = Event::Kind::kUnknownJob;
      RecordEvent(e);
    }
  });
}

// Queries all nodes within milliseconds of a response and submits the job again; some cancel at
// once.
void World::SendQueryBurst(const std::string& job) {
  for (int round = 0; round < 2; ++round) {
    for (size_t k = 0; k < nodes_.size(); ++k) {
      Schedule(now_ + RandomDuration(0, 0.01), [this, job, k] { QueryOnce(job, NodeName(k)); });
    }
  }
  Schedule(now_ + RandomDuration(0, 0.005), [this, job] { SubmitJob(job, now_); });
  const UserJob& j = jobs_.at(job);
  if (!j.is_final && !j.cancel_requested && RandomFraction() < 0.05) CancelJob(job);
}

void World::SendUnusualRequests() {
  if (!unusual_requests_) return;
  std::vector<std::string> open, finished;
  for (const auto& [id, j] : jobs_) {
    if (j.accepted) (j.is_final ? finished : open).push_back(id);
  }
  const auto pick = [&](const std::vector<std::string>& jobs) {
    return jobs[clock_.random() % jobs.size()];
  };
  if (!open.empty()) SubmitJob(pick(open), now_);
  if (!finished.empty()) CancelJob(pick(finished));
  // Alternates between a job that fits no machine and one that lacks a field.
  char id[48];
  std::snprintf(id, sizeof(id), "job-88%05d", ++unusual_jobs_);
  JobSpec spec = scenario_.classes[0].spec;
  spec.id = id;
  spec.image = "odd";
  if (unusual_jobs_ % 2 == 0) spec.need.cpu = 100000000;
  UserJob job;
  job.body = FormatJob(spec);
  if (unusual_jobs_ % 2 == 1) job.body.erase(job.body.find(R"("samePlace")"), 18);
  job.abandoned = true;  // the scenario does not wait for it
  job.facts = {spec.id, spec.team, "odd", 1,     spec.need.cpu, 0,
               "",      false,     false, false, true,          now_.count};
  Event e;
  e.kind = Event::Kind::kSubmitted;
  e.job = spec.id;
  e.facts = job.facts;
  RecordEvent(e);
  jobs_[spec.id] = std::move(job);
  SubmitJob(spec.id, now_);
  Schedule(now_ + Seconds(1), [this] { SendUnusualRequests(); });
}

// Cancels `count` running jobs within 0.2 s; up to 8 of their machines hang.
void World::CancelRunningJobs(const Fault& t) {
  std::vector<std::string> running;
  std::map<std::string, std::set<std::string>> where;
  for (const auto& [id, w] : workers_) {
    for (const TaskKey& task : w.running_tasks) where[task.ref.job].insert(id);
  }
  for (const auto& [id, machines] : where) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end() && it->second.accepted && !it->second.cancel_requested)
      running.push_back(id);
  }
  std::shuffle(running.begin(), running.end(), clock_.random);
  running.resize(std::min(running.size(), static_cast<size_t>(t.count)));
  size_t hung = 0;
  for (const std::string& id : running) {
    Schedule(now_ + RandomDuration(0, 0.2), [this, id] { CancelJob(id); });
    for (const std::string& machine : where[id]) {
      if (t.span.count > 0 && hung++ < 8) HangMachine(machine, t.span);
    }
  }
}

}  // namespace badgershore::rehearsal
