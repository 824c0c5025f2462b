#include <gtest/gtest.h>

#include "peer/messages.h"
#include "wire/messages.h"
#include "wire/records.h"

namespace badgershore::wire {
namespace {

const std::string kJob =
    R"({"nameId":"job-000412","lane":"train","owner":"vision","shape":"gang","rank":"high","legs":16,
 "cpus":8.0,"accelerators":1.0,"memGb":64.0,"kit":"img-07","imageGb":6.2,"builds":["g8"],"yard":null,
 "samePlace":true,"spread":false,"loaners":true,"expectS":240.0,"stashEveryS":30.0,"stashS":4.0,
 "dueS":900.0,"later":{}})";

std::string With(const std::string& from, const std::string& to) {
  std::string text = kJob;
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST(Submissions, ReadsEveryField) {
  const Submission s = ParseSubmission(kJob, 5);
  ASSERT_TRUE(s.spec) << s.reason;
  EXPECT_EQ(s.id, "job-000412");
  EXPECT_EQ(s.spec->kind, JobKind::kGang);
  EXPECT_EQ(s.spec->need, (Resources{8000, 1000, 64000}));
  EXPECT_EQ(s.spec->machine_types->at(0), "g8");
  EXPECT_FALSE(s.spec->zone);
  EXPECT_TRUE(s.spec->same_zone);
  EXPECT_EQ(s.spec->deadline, Seconds(900));
  EXPECT_EQ(s.spec->submitted_ms, 5);
}

TEST(Submissions, RefusesMissingWrongAndOutOfRange) {
  EXPECT_TRUE(ParseSubmission("nonsense", 0).id.empty());
  EXPECT_TRUE(ParseSubmission("[]", 0).id.empty());
  EXPECT_TRUE(ParseSubmission(With("job-000412", "jobb"), 0).id.empty());
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {"\"legs\":16", "\"legs\":0"},
           {"\"legs\":16", "\"legs\":100001"},
           {"\"legs\":16", "\"legs\":1.5"},
           {"\"legs\":16,", ""},
           {"\"cpus\":8.0", "\"cpus\":-1"},
           {"\"cpus\":8.0", "\"cpus\":\"8\""},
           {"\"shape\":\"gang\"", "\"shape\":\"heap\""},
           {"\"rank\":\"high\"", "\"rank\":null"},
           {"\"builds\":[\"g8\"]", "\"builds\":[1]"},
           {"\"samePlace\":true", "\"samePlace\":1"},
           {"\"spread\":false", "\"spread\":\"no\""},
           {"\"loaners\":true", "\"loaners\":{}"},
           {"\"stashEveryS\":30.0", "\"stashEveryS\":-1"},
           {"\"stashS\":4.0", "\"stashS\":[]"},
           {"\"accelerators\":1.0", "\"accelerators\":-1"},
           {"\"dueS\":900.0", "\"dueS\":\"soon\""},
           {"\"yard\":null", "\"yard\":3"},
           {"\"kit\":\"img-07\"", "\"kit\":\"\""},
           {"\"owner\":\"vision\"", "\"owner\":7"},
           {"\"expectS\":240.0", "\"expectS\":-3"}}) {
    const Submission s = ParseSubmission(With(from, to), 0);
    EXPECT_FALSE(s.spec) << to;
    EXPECT_EQ(s.id, "job-000412") << to;
    EXPECT_FALSE(s.reason.empty()) << to;
  }
}

// Only fields that may be null may be absent; a job without any other field must be rejected.
TEST(Submissions, RefusesAnyThatLacksAField) {
  rapidjson::Document whole;
  ASSERT_TRUE(ParseObject(kJob, &whole));
  std::vector<std::string> taken;
  for (const auto& member : whole.GetObject()) {
    for (const bool null : {false, true}) {
      rapidjson::Document lacking;
      lacking.CopyFrom(whole, lacking.GetAllocator());
      if (null) {
        lacking[member.name].SetNull();
      } else {
        lacking.RemoveMember(member.name);
      }
      Writer w;
      w.Raw(lacking);
      if (ParseSubmission(w.Done(), 0).spec && !null) taken.push_back(member.name.GetString());
      EXPECT_EQ(ParseSubmission(w.Done(), 0).spec.has_value(),
                !taken.empty() && taken.back() == member.name.GetString())
          << member.name.GetString();
    }
  }
  EXPECT_EQ(taken, (std::vector<std::string>{"builds", "yard", "dueS", "later"}));
}

// Jobs that an earlier version accepted may lack fields that are required now.
TEST(Records, OlderJobsStillLoad) {
  rapidjson::Document doc;
  ASSERT_TRUE(ParseObject(R"({"id":"job-1","lane":"l","team":"t","shape":0,"rank":2,"tasks":3,
      "cpu":1000,"mem":1000,"image":"i","image_gb":1,"estimate_us":5000000})",
                          &doc));
  const JobSpec spec = std::get<JobSpec>(ReadRecord("job/job-1", doc));
  EXPECT_EQ(spec.tasks, 3);
  EXPECT_FALSE(spec.same_zone || spec.spread || spec.allow_spot);
}

TEST(Records, JobsComeBackAsTheyWere) {
  const JobSpec spec = *ParseSubmission(kJob, 77).spec;
  Writer w;
  PutRecord(&w, spec);
  rapidjson::Document doc;
  ASSERT_TRUE(ParseObject(w.Done(), &doc));
  const Record back = ReadRecord("job/" + spec.id, doc);
  EXPECT_EQ(std::get<JobSpec>(back), spec);
}

TEST(Records, PagesComeBackAsTheyWere) {
  const auto again = [](const std::string& key, const Record& record) {
    Writer w;
    PutRecord(&w, record);
    rapidjson::Document doc;
    EXPECT_TRUE(ParseObject(w.Done(), &doc));
    return ReadRecord(key, doc);
  };
  const auto fleet = std::get<FleetPage>(
      again("fleet/0",
            FleetPage{{{"n-1", "10.1.0.2:9", "g8", "a", true}, {"n-2", "", "g8", "b", false}}}));
  ASSERT_EQ(fleet.machines.size(), 2u);
  EXPECT_EQ(fleet.machines[0].endpoint, "10.1.0.2:9");
  EXPECT_TRUE(fleet.machines[0].spot);
  EXPECT_EQ(fleet.machines[1].zone, "b");
  const auto progress = std::get<ProgressPage>(
      again("prog/0", ProgressPage{{{"job-1", 0, "0f"}, {"job-2", 3, "8"}}}));
  ASSERT_EQ(progress.chunks.size(), 2u);
  EXPECT_EQ(progress.chunks[1].job, "job-2");
  EXPECT_EQ(progress.chunks[1].chunk, 3);
  EXPECT_EQ(progress.chunks[1].bits, "8");
}

TEST(Workers, ReadsReportsAndWritesOrders) {
  const auto r = ParseReport(
      R"({"sett":"n-1","endpoint":"10.1.0.2:9","build":"g8","yard":"a","loaners":true,"tenure":2,
 "tally":88,"baton":41,"recallS":12.5,"legs":[{"leg":"job-1/3","try":2,"phase":"running"},
 {"leg":"job-2/0","try":9007199254740991,"phase":"exited","cause":"done"},{"leg":"odd"}]})");
  ASSERT_TRUE(r);
  EXPECT_EQ(r->agent_epoch, 2u);
  EXPECT_EQ(r->preemption_notice, Millis(12500));
  ASSERT_EQ(r->tasks.size(), 2u);
  EXPECT_EQ(r->tasks[1].attempt, 9007199254740991u);
  EXPECT_EQ(r->tasks[1].exit_reason, ExitReason::kDone);
  EXPECT_FALSE(ParseReport("{}"));
  HeartbeatResponse a;
  a.status = 200;
  a.fencing_token = 7;
  a.commands = {{Command::Verb::kStop, {"job-1", 3}, 2, Seconds(10)}};
  EXPECT_EQ(FormatCheckinAnswer(a),
            R"({"baton":7,"orders":[{"verb":"halt","leg":"job-1/3","try":2,"windDownS":10.0}]})");
}

TEST(State, ReadsChangesAndFailures) {
  StateRequest watch, commit;
  watch.kind = StateRequest::Kind::kWatch;
  commit.kind = StateRequest::Kind::kCompareAndSwap;
  const StateResponse r = ParseStateAnswer(
      watch, 200,
      R"({"epoch":9,"log":[{"put":"end/job-1","value":{"end":"withdrawn","tasks":0},"stamp":8},
 {"delete":"job/job-1","stamp":9}]})");
  ASSERT_TRUE(r.ok());
  EXPECT_EQ(r.revision, 9u);
  EXPECT_TRUE(std::get<JobEndRecord>(r.entries[0].value).cancelled);
  EXPECT_TRUE(r.entries[1].deleted);
  const StateResponse c = ParseStateAnswer(commit, 409, R"({"failed":["ctl/term"],"epoch":3})");
  EXPECT_EQ(c.outcome, StateResponse::Outcome::kConflict);
  EXPECT_EQ(c.failed_keys[0], "ctl/term");
}

TEST(Peers, WhatCellsTellEachOtherIsMarkedAndComesBack) {
  limits::CellMessage note;
  note.from = "north";
  note.to = "south";
  note.nonce = 7;
  note.in_transit["t"] = {1, 2, 3, 4};
  note.requests["t"] = {{5, 0, 0, 0}, 99, 1, true};
  note.closed["gone"]["t"] = {-9, 0, 0, 0};
  const std::string frame = peer::EncodeFrame(note);
  const auto head = peer::DecodeHeader(frame);
  ASSERT_TRUE(head && head->kind == peer::FrameKind::kCellMessage);
  const auto back = peer::DecodeCellMessage(std::string_view(frame).substr(4, head->body_size));
  ASSERT_TRUE(back);
  EXPECT_EQ(*back, note);
  EXPECT_FALSE(peer::DecodeCellMessage(std::string_view(frame).substr(4, head->body_size / 2)));
}

TEST(Peers, ProbesAreMarkedAndComeBack) {
  membership::Message m;
  m.kind = membership::Message::Kind::kPingRequest;
  m.from = "m-1";
  m.number = 8;
  m.gossip = {{"m-2", membership::State::kSuspect, 5, "m-1"}};
  const std::string frame = peer::EncodeFrame(m);
  const auto head = peer::DecodeHeader(frame);
  ASSERT_TRUE(head && head->kind == peer::FrameKind::kMembershipMessage);
  const auto back =
      peer::DecodeMembershipMessage(std::string_view(frame).substr(4, head->body_size));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->kind, m.kind);
  EXPECT_EQ(back->number, 8u);
  EXPECT_EQ(back->gossip.at(0).state, membership::State::kSuspect);
  EXPECT_FALSE(
      peer::DecodeMembershipMessage(std::string_view(frame).substr(4, head->body_size / 2)));
}

TEST(Records, ACellsRightsComeBack) {
  limits::QuotaRecord r;
  r.number = 12;
  r.held["t"] = {1, limits::kUnlimited, 3, 4};
  r.totals["t"] = {5, limits::kUnlimited, 7, 8};
  r.accounts["south"] = {3, {{"t", {1, 0, 0, 0}}}, 2, {{"t", {-4, 0, 0, 0}}}, true, 99};
  r.inherited["gone"] = true;
  Writer w;
  PutRecord(&w, r);
  rapidjson::Document doc;
  ASSERT_TRUE(ParseObject(w.Done(), &doc));
  const Record back = ReadRecord(keys::kEscrow, doc);
  ASSERT_TRUE(std::holds_alternative<limits::QuotaRecord>(back));
  EXPECT_EQ(std::get<limits::QuotaRecord>(back), r);
}

TEST(Peers, NotesComeBackAndNoiseDoesNot) {
  PeerStatus note{"m-1", 7, "m-2", true, {{"job-1", 3, 4}}, true, {"job-9"}, {"job-8"}};
  const std::string frame = peer::EncodeFrame(note);
  const auto head = peer::DecodeHeader(frame);
  ASSERT_TRUE(head);
  EXPECT_EQ(head->body_size, frame.size() - 4);
  EXPECT_EQ(head->kind, peer::FrameKind::kPeerStatus);
  const auto back = peer::DecodePeerStatus(std::string_view(frame).substr(4));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->leader, "m-2");
  EXPECT_EQ(back->job_statuses[0].running, 4);
  EXPECT_TRUE(back->receives_heartbeats);
  EXPECT_EQ(back->cancelling, std::vector<std::string>{"job-9"});
  // Statuses of earlier versions are still accepted: the first version ended with the jobs, the
  // second with the flag receives_heartbeats.
  EXPECT_EQ(back->cancelled, std::vector<std::string>{"job-8"});
  const size_t calls_off = 2 * (8 + 8 + 5);  // two lists: count, length and name
  const auto first =
      peer::DecodePeerStatus(std::string_view(frame).substr(4, head->body_size - calls_off - 1));
  ASSERT_TRUE(first);
  EXPECT_FALSE(first->receives_heartbeats);
  EXPECT_TRUE(first->cancelling.empty());
  const auto second =
      peer::DecodePeerStatus(std::string_view(frame).substr(4, head->body_size - calls_off));
  ASSERT_TRUE(second);
  EXPECT_TRUE(second->receives_heartbeats);
  EXPECT_TRUE(second->cancelling.empty());
  EXPECT_TRUE(second->cancelled.empty());
  EXPECT_FALSE(peer::DecodePeerStatus(std::string_view(frame).substr(4, head->body_size / 2)));
  EXPECT_FALSE(peer::DecodeHeader(std::string("\xff\xff\xff\xff", 4)));
}

}  // namespace
}  // namespace badgershore::wire
