// The users of a scenario: they submit jobs, query them, cancel them and query them again.
#include <algorithm>

#include "rehearsal/world.h"
#include "wire/json.h"

namespace badgershore::rehearsal {
namespace {

constexpr Micros kPatience = Seconds(900);

std::string Body(const JobSpec& s) {
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
  if (s.deadline) w.Put("dueS", s.deadline->ToSeconds());
  return w.End().Done();
}

}  // namespace

// The jobs and their sizes depend on the scenario alone; only their arrival times are random.
void World::PlanJobs() {
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
      spec.tasks =
          k.least_tasks +
          static_cast<int>(size() % static_cast<uint64_t>(k.most_tasks - k.least_tasks + 1));
      spec.image =
          k.spec.job_class + "-" + std::to_string(size() % static_cast<uint64_t>(k.images));
      job.run = k.run.Scaled(0.5 + static_cast<double>(size() % 1000) / 1000);
      job.body = Body(spec);
      job.lane = spec.job_class;
      job.left = spec.tasks;
      job.facts = {spec.id,       spec.team, spec.job_class, spec.tasks,  spec.need.cpu,
                   spec.need.gpu, "",        spec.same_zone, spec.spread, spec.allow_spot,
                   false,         0};
      const double gap = k.per_minute > 0 ? 60 / k.per_minute : 0;
      const Micros at =
          k.from +
          (i < k.at_start ? Between(0, 2) : Seconds((i - k.at_start) * gap) + Between(0, gap));
      jobs_[id] = job;
      Later(now_ + at, [this, spec, run = job.run, mistake = k.mistake, after = k.withdrawn_after] {
        work_.AddJob(spec, run, mistake);
        if (after.count > 0) Later(now_ + after, [this, id = spec.id] { Withdraw(id); });
        UserJob& j = jobs_.at(spec.id);
        j.submitted = true;
        j.first = now_;
        Event e;
        e.kind = Event::Kind::kSubmitted;
        e.job = spec.id;
        e.facts = j.facts;
        e.facts.submitted_us = now_.count;
        See(e);
        Submit(spec.id, now_);
      });
    }
  }
  for (const Withdrawal& w : scenario_.withdrawals) {
    if (jobs_.contains(w.job)) Later(now_ + w.at, [this, job = w.job] { Withdraw(job); });
  }
}

void World::ProbeNode(size_t index) {
  wire::Call call{"GET", "/healthz", "", Seconds(1)};
  Send("users", "node-" + std::to_string(index), std::move(call),
       [this, index](int status, const std::string&) {
         balancer_.OnProbe(now_, index, status == 200);
       });
  Later(now_ + Seconds(1), [this, index] { ProbeNode(index); });
}

// Where the load balancer sends a new connection; a random node while none is healthy.
std::string World::PickNode() {
  const std::vector<size_t> order = balancer_.Order(now_, clock_.random());
  return "node-" + std::to_string(order.empty() ? clock_.random() % nodes_.size() : order.front());
}

void World::Submit(const std::string& job, Micros first) {
  wire::Call call{"POST", "/work", jobs_.at(job).body, Seconds(5)};
  Send("users", PickNode(), std::move(call), [=, this](int status, const std::string&) {
    UserJob& j = jobs_.at(job);
    Event e;
    e.job = job;
    e.number = static_cast<uint64_t>(std::max(status, 0));
    if (status == 200 || status == 201) {
      e.kind = Event::Kind::kAccepted;
      if (!j.accepted) {
        j.accepted = true;
        Later(now_ + Between(1, 5), [this, job] { Poll(job, false); });
        if (look_closely_) LookClosely(job);
        // Now and then the response is lost and the job is submitted again.
        if (Chance() < 0.1)
          Later(now_ + Between(1, 30), [this, job, first] { Submit(job, first); });
      }
      return See(e);
    }
    if (status == 400 || status == 422) {
      e.kind = Event::Kind::kRejected;
      j.gave_up = true;
      return See(e);
    }
    if (j.accepted) return;
    if (now_ - first > kPatience) {
      j.gave_up = true;
      return Note("gives up " + job);
    }
    Later(now_ + Seconds(1), [=, this] { Submit(job, first); });
  });
}

void World::Poll(const std::string& job, bool again) {
  wire::Call call{"GET", "/work/" + job, "", Seconds(2)};
  const int64_t asked_us = now_.count;
  Send("users", PickNode(), std::move(call), [=, this](int status, const std::string& body) {
    UserJob& j = jobs_.at(job);
    Event e;
    e.job = job;
    e.asked_us = asked_us;
    rapidjson::Document doc;
    if (status == 200 && wire::ParseObject(body, &doc)) {
      e.kind = Event::Kind::kTold;
      e.text = wire::Text(doc, "phase");
      See(e);
      const bool final = e.text == "done" || e.text == "withdrawn";
      if (final && !j.final) {
        j.final = true;
        if (look_closely_) LookClosely(job);
        if (e.text == "done") stage_->result.waits[j.lane].push_back((now_ - j.first).ToSeconds());
      }
      if (final && again) {
        j.rechecked = true;
        return;
      }
      // A query at any later time must get the same final phase.
      const Micros next =
          final ? Between(scenario_.recheck_least_s, scenario_.recheck_most_s) : Between(4, 6);
      return Later(now_ + next, [=, this] { Poll(job, final); });
    }
    e.kind = status == 404 ? Event::Kind::kUnknownJob : Event::Kind::kNoAnswer;
    See(e);
    Later(now_ + Between(1, 5), [=, this] { Poll(job, again); });
  });
}

void World::Withdraw(const std::string& job) {
  const UserJob& known = jobs_.at(job);
  if (!known.accepted)
    return Later(now_ + Seconds(1), [this, job] {
      if (!jobs_.at(job).gave_up) Withdraw(job);
    });
  jobs_.at(job).calls_off = true;
  Event asks;
  asks.kind = Event::Kind::kWithdraws;
  asks.job = job;
  See(asks);
  wire::Call call{"POST", "/work/" + job + "/withdraw", "", Seconds(5)};
  Send("users", PickNode(), std::move(call), [=, this](int status, const std::string& body) {
    rapidjson::Document doc;
    Event e;
    e.job = job;
    if (status == 200 && wire::ParseObject(body, &doc)) {
      e.kind = Event::Kind::kTold;
      e.text = wire::Text(doc, "phase");
      See(e);
      if (e.text == "done" || e.text == "withdrawn") jobs_.at(job).final = true;
      if (look_closely_) LookClosely(job);
      return;
    }
    Later(now_ + Seconds(1), [this, job] { Withdraw(job); });
  });
}

void World::AskUnknown() {
  wire::Call call{"GET", "/work/job-99999999", "", Seconds(2)};
  Send("users", PickNode(), std::move(call), [this](int status, const std::string&) {
    if (status != 200) return;
    Event e;
    e.kind = Event::Kind::kTold;
    e.job = "job-99999999";
    e.text = "pending";
    See(e);
  });
  Later(now_ + Seconds(29), [this] { AskUnknown(); });
}

// A query without a retry; the checker counts its response like any other.
void World::Ask(const std::string& job, const std::string& node) {
  wire::Call call{"GET", "/work/" + job, "", Seconds(2)};
  const int64_t asked_us = now_.count;
  Send("users", node, std::move(call), [=, this](int status, const std::string& body) {
    rapidjson::Document doc;
    Event e;
    e.job = job;
    e.asked_us = asked_us;
    if (status == 200 && wire::ParseObject(body, &doc)) {
      e.kind = Event::Kind::kTold;
      e.text = wire::Text(doc, "phase");
      See(e);
    } else if (status == 404) {
      e.kind = Event::Kind::kUnknownJob;
      See(e);
    }
  });
}

// Queries all nodes within milliseconds of a response and submits the job again; some cancel at
// once.
void World::LookClosely(const std::string& job) {
  for (int round = 0; round < 2; ++round) {
    for (size_t k = 0; k < nodes_.size(); ++k) {
      Later(now_ + Between(0, 0.01), [this, job, k] { Ask(job, NodeName(k)); });
    }
  }
  Later(now_ + Between(0, 0.005), [this, job] { Submit(job, now_); });
  const UserJob& j = jobs_.at(job);
  if (!j.final && !j.calls_off && Chance() < 0.05) Withdraw(job);
}

void World::RequestOddly() {
  if (!odd_) return;
  std::vector<std::string> open, over;
  for (const auto& [id, j] : jobs_) {
    if (j.accepted) (j.final ? over : open).push_back(id);
  }
  const auto one = [&](const std::vector<std::string>& of) {
    return of[clock_.random() % of.size()];
  };
  if (!open.empty()) Submit(one(open), now_);
  if (!over.empty()) Withdraw(one(over));
  // Alternates between a job that fits no machine and one that lacks a field.
  char id[48];
  std::snprintf(id, sizeof(id), "job-88%05d", ++odd_jobs_);
  JobSpec spec = scenario_.classes[0].spec;
  spec.id = id;
  spec.image = "odd";
  if (odd_jobs_ % 2 == 0) spec.need.cpu = 100000000;
  UserJob job;
  job.body = Body(spec);
  if (odd_jobs_ % 2 == 1) job.body.erase(job.body.find(R"("samePlace")"), 18);
  job.gave_up = true;  // the scenario does not wait for it
  job.facts = {spec.id, spec.team, "odd", 1,     spec.need.cpu, 0,
               "",      false,     false, false, true,          now_.count};
  Event e;
  e.kind = Event::Kind::kSubmitted;
  e.job = spec.id;
  e.facts = job.facts;
  See(e);
  jobs_[spec.id] = std::move(job);
  Submit(spec.id, now_);
  Later(now_ + Seconds(1), [this] { RequestOddly(); });
}

// Cancels `count` running jobs within 0.2 s; up to 8 of their machines hang.
void World::CallOff(const Trouble& t) {
  std::vector<std::string> running;
  std::map<std::string, std::set<std::string>> where;
  for (const auto& [id, w] : workers_) {
    for (const TaskKey& task : w.on) where[task.ref.job].insert(id);
  }
  for (const auto& [id, machines] : where) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end() && it->second.accepted && !it->second.calls_off) running.push_back(id);
  }
  std::shuffle(running.begin(), running.end(), clock_.random);
  running.resize(std::min(running.size(), static_cast<size_t>(t.count)));
  size_t hung = 0;
  for (const std::string& id : running) {
    Later(now_ + Between(0, 0.2), [this, id] { Withdraw(id); });
    for (const std::string& machine : where[id]) {
      if (t.span.count > 0 && hung++ < 8) Hang(machine, t.span);
    }
  }
}

}  // namespace badgershore::rehearsal
