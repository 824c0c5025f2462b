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

std::string JobWith(const std::string& from, const std::string& to) {
  std::string text = kJob;
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST(Submissions, ParsesEveryField) {
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

TEST(Submissions, RejectsInvalidFields) {
  EXPECT_TRUE(ParseSubmission("nonsense", 0).id.empty());
  EXPECT_TRUE(ParseSubmission("[]", 0).id.empty());
  EXPECT_TRUE(ParseSubmission(JobWith("job-000412", "jobb"), 0).id.empty());
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
    const Submission s = ParseSubmission(JobWith(from, to), 0);
    EXPECT_FALSE(s.spec) << to;
    EXPECT_EQ(s.id, "job-000412") << to;
    EXPECT_FALSE(s.reason.empty()) << to;
  }
}

// Only fields that may be null may be absent; a job without any other field must be rejected.
TEST(Submissions, RejectsMissingRequiredFields) {
  rapidjson::Document complete;
  ASSERT_TRUE(ParseObject(kJob, &complete));
  std::vector<std::string> accepted_without;
  for (const auto& member : complete.GetObject()) {
    for (const bool null : {false, true}) {
      rapidjson::Document incomplete;
      incomplete.CopyFrom(complete, incomplete.GetAllocator());
      if (null) {
        incomplete[member.name].SetNull();
      } else {
        incomplete.RemoveMember(member.name);
      }
      Writer w;
      w.Raw(incomplete);
      if (ParseSubmission(w.Done(), 0).spec && !null)
        accepted_without.push_back(member.name.GetString());
      EXPECT_EQ(ParseSubmission(w.Done(), 0).spec.has_value(),
                !accepted_without.empty() && accepted_without.back() == member.name.GetString())
          << member.name.GetString();
    }
  }
  EXPECT_EQ(accepted_without, (std::vector<std::string>{"builds", "yard", "dueS", "later"}));
}

// Jobs that an earlier version accepted may lack fields that are required now.
TEST(Records, LoadsJobsOfEarlierVersions) {
  rapidjson::Document doc;
  ASSERT_TRUE(ParseObject(R"({"id":"job-1","lane":"l","team":"t","shape":0,"rank":2,"tasks":3,
      "cpu":1000,"mem":1000,"image":"i","image_gb":1,"estimate_us":5000000})",
                          &doc));
  const JobSpec spec = std::get<JobSpec>(ReadRecord("job/job-1", doc));
  EXPECT_EQ(spec.tasks, 3);
  EXPECT_FALSE(spec.same_zone || spec.spread || spec.allow_spot);
}

TEST(Records, JobRoundTrip) {
  const JobSpec spec = *ParseSubmission(kJob, 77).spec;
  Writer w;
  PutRecord(&w, spec);
  rapidjson::Document doc;
  ASSERT_TRUE(ParseObject(w.Done(), &doc));
  const Record decoded = ReadRecord("job/" + spec.id, doc);
  EXPECT_EQ(std::get<JobSpec>(decoded), spec);
}

TEST(Records, PageRoundTrip) {
  const auto round_trip = [](const std::string& key, const Record& record) {
    Writer w;
    PutRecord(&w, record);
    rapidjson::Document doc;
    EXPECT_TRUE(ParseObject(w.Done(), &doc));
    return ReadRecord(key, doc);
  };
  const auto fleet = std::get<FleetPage>(round_trip(
      "fleet/0",
      FleetPage{{{"n-1", "10.1.0.2:9", "g8", "a", true}, {"n-2", "", "g8", "b", false}}}));
  ASSERT_EQ(fleet.machines.size(), 2u);
  EXPECT_EQ(fleet.machines[0].endpoint, "10.1.0.2:9");
  EXPECT_TRUE(fleet.machines[0].spot);
  EXPECT_EQ(fleet.machines[1].zone, "b");
  const auto progress = std::get<ProgressPage>(
      round_trip("prog/0", ProgressPage{{{"job-1", 0, "0f"}, {"job-2", 3, "8"}}}));
  ASSERT_EQ(progress.chunks.size(), 2u);
  EXPECT_EQ(progress.chunks[1].job, "job-2");
  EXPECT_EQ(progress.chunks[1].chunk, 3);
  EXPECT_EQ(progress.chunks[1].bits, "8");
}

TEST(Workers, ParsesHeartbeatsAndFormatsCommands) {
  const auto r = ParseHeartbeat(
      R"({"sett":"n-1","endpoint":"10.1.0.2:9","build":"g8","yard":"a","loaners":true,"tenure":2,
 "tally":88,"baton":41,"recallS":12.5,"legs":[{"leg":"job-1/3","try":2,"phase":"running"},
 {"leg":"job-2/0","try":9007199254740991,"phase":"exited","cause":"done"},{"leg":"odd"}]})");
  ASSERT_TRUE(r);
  EXPECT_EQ(r->agent_epoch, 2u);
  EXPECT_EQ(r->preemption_notice, Millis(12500));
  ASSERT_EQ(r->tasks.size(), 2u);
  EXPECT_EQ(r->tasks[1].attempt, 9007199254740991u);
  EXPECT_EQ(r->tasks[1].exit_reason, ExitReason::kDone);
  EXPECT_FALSE(ParseHeartbeat("{}"));
  HeartbeatResponse a;
  a.status = 200;
  a.fencing_token = 7;
  a.commands = {{Command::Verb::kStop, {"job-1", 3}, 2, Seconds(10)}};
  EXPECT_EQ(FormatHeartbeatResponse(a),
            R"({"baton":7,"orders":[{"verb":"halt","leg":"job-1/3","try":2,"windDownS":10.0}]})");
}

TEST(State, ParsesChangesAndConflicts) {
  StateRequest watch, commit;
  watch.kind = StateRequest::Kind::kWatch;
  commit.kind = StateRequest::Kind::kCompareAndSwap;
  const StateResponse r = ParseStateResponse(
      watch, 200,
      R"({"epoch":9,"log":[{"put":"end/job-1","value":{"end":"withdrawn","tasks":0},"stamp":8},
 {"delete":"job/job-1","stamp":9}]})");
  ASSERT_TRUE(r.ok());
  EXPECT_EQ(r.revision, 9u);
  EXPECT_TRUE(std::get<JobEndRecord>(r.entries[0].value).cancelled);
  EXPECT_TRUE(r.entries[1].deleted);
  const StateResponse c = ParseStateResponse(commit, 409, R"({"failed":["ctl/term"],"epoch":3})");
  EXPECT_EQ(c.outcome, StateResponse::Outcome::kConflict);
  EXPECT_EQ(c.failed_keys[0], "ctl/term");
}

// Guards against a refusal for size that looks like a lost response, after which the same
// transaction is sent again.
TEST(StateResponses, RefusalForSizeIsAnOutcomeOfItsOwn) {
  using Outcome = StateResponse::Outcome;
  StateRequest commit;
  commit.kind = StateRequest::Kind::kCompareAndSwap;
  commit.mutations = {{"fleet/0", false, FleetPage{}, 0}};
  EXPECT_EQ(ParseStateResponse(commit, 400, "{}").outcome, Outcome::kTooLarge);
  EXPECT_EQ(ParseStateResponse(commit, 429, "{}").outcome, Outcome::kRefused);
  EXPECT_EQ(ParseStateResponse(commit, 500, "{}").outcome, Outcome::kInvalid);
  // The same status means that the lease of a key has expired.
  commit.mutations[0].lease = 7;
  EXPECT_EQ(ParseStateResponse(commit, 400, "{}").outcome, Outcome::kInvalid);
  StateRequest grant;
  grant.kind = StateRequest::Kind::kGrantLease;
  EXPECT_EQ(ParseStateResponse(grant, 400, "{}").outcome, Outcome::kInvalid);
}

TEST(Peers, CellMessageRoundTrip) {
  limits::CellMessage message;
  message.from = "north";
  message.to = "south";
  message.nonce = 7;
  message.in_transit["t"] = {1, 2, 3, 4};
  message.requests["t"] = {{5, 0, 0, 0}, 99, 1, true};
  message.closed["gone"]["t"] = {-9, 0, 0, 0};
  const std::string frame = peer::EncodeFrame(message);
  const auto header = peer::DecodeHeader(frame);
  ASSERT_TRUE(header && header->kind == peer::FrameKind::kCellMessage);
  const auto decoded =
      peer::DecodeCellMessage(std::string_view(frame).substr(4, header->body_size));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, message);
  EXPECT_FALSE(peer::DecodeCellMessage(std::string_view(frame).substr(4, header->body_size / 2)));
}

TEST(Peers, MembershipMessageRoundTrip) {
  membership::Message m;
  m.kind = membership::Message::Kind::kPingRequest;
  m.from = "m-1";
  m.number = 8;
  m.gossip = {{"m-2", membership::State::kSuspect, 5, "m-1"}};
  const std::string frame = peer::EncodeFrame(m);
  const auto header = peer::DecodeHeader(frame);
  ASSERT_TRUE(header && header->kind == peer::FrameKind::kMembershipMessage);
  const auto decoded =
      peer::DecodeMembershipMessage(std::string_view(frame).substr(4, header->body_size));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->kind, m.kind);
  EXPECT_EQ(decoded->number, 8u);
  EXPECT_EQ(decoded->gossip.at(0).state, membership::State::kSuspect);
  EXPECT_FALSE(
      peer::DecodeMembershipMessage(std::string_view(frame).substr(4, header->body_size / 2)));
}

TEST(Records, QuotaRecordRoundTrip) {
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
  const Record decoded = ReadRecord(keys::kQuotaRecord, doc);
  ASSERT_TRUE(std::holds_alternative<limits::QuotaRecord>(decoded));
  EXPECT_EQ(std::get<limits::QuotaRecord>(decoded), r);
}

TEST(Peers, PeerStatusRoundTripAndMalformedFrames) {
  PeerStatus message{"m-1", 7,         "m-2",     true,     {{"job-1", 3, 4}},
                     true,  {"job-9"}, {"job-8"}, {"job-7"}};
  const std::string frame = peer::EncodeFrame(message);
  const auto header = peer::DecodeHeader(frame);
  ASSERT_TRUE(header);
  EXPECT_EQ(header->body_size, frame.size() - 4);
  EXPECT_EQ(header->kind, peer::FrameKind::kPeerStatus);
  const auto decoded = peer::DecodePeerStatus(std::string_view(frame).substr(4));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->leader, "m-2");
  EXPECT_EQ(decoded->job_statuses[0].running, 4);
  EXPECT_TRUE(decoded->receives_heartbeats);
  EXPECT_EQ(decoded->cancelling, std::vector<std::string>{"job-9"});
  // Statuses of earlier versions are still accepted: the first version ended with the jobs, the
  // second with the flag receives_heartbeats, the third with the cancelled jobs.
  EXPECT_EQ(decoded->cancelled, std::vector<std::string>{"job-8"});
  EXPECT_EQ(decoded->unconfirmed, std::vector<std::string>{"job-7"});
  const size_t list_bytes = 8 + 8 + 5;  // count, length and name
  const size_t cancellation_bytes = 3 * list_bytes;
  const auto first_version = peer::DecodePeerStatus(
      std::string_view(frame).substr(4, header->body_size - cancellation_bytes - 1));
  ASSERT_TRUE(first_version);
  EXPECT_FALSE(first_version->receives_heartbeats);
  EXPECT_TRUE(first_version->cancelling.empty());
  const auto second_version = peer::DecodePeerStatus(
      std::string_view(frame).substr(4, header->body_size - cancellation_bytes));
  ASSERT_TRUE(second_version);
  EXPECT_TRUE(second_version->receives_heartbeats);
  EXPECT_TRUE(second_version->cancelling.empty());
  EXPECT_TRUE(second_version->cancelled.empty());
  const auto third_version =
      peer::DecodePeerStatus(std::string_view(frame).substr(4, header->body_size - list_bytes));
  ASSERT_TRUE(third_version);
  EXPECT_EQ(third_version->cancelled, std::vector<std::string>{"job-8"});
  EXPECT_TRUE(third_version->unconfirmed.empty());
  // One byte less than the first version.
  EXPECT_FALSE(peer::DecodePeerStatus(
      std::string_view(frame).substr(4, header->body_size - cancellation_bytes - 2)));
  EXPECT_FALSE(peer::DecodeHeader(std::string("\xff\xff\xff\xff", 4)));
}

TEST(Peers, CancellationConfirmationRoundTrip) {
  const std::string frame =
      peer::EncodeFrame(CancellationConfirmation{"m-1", "m-2", {"job-1", "job-2"}});
  const auto header = peer::DecodeHeader(frame);
  ASSERT_TRUE(header);
  EXPECT_EQ(header->body_size, frame.size() - 4);
  EXPECT_EQ(header->kind, peer::FrameKind::kCancellationConfirmation);
  const auto decoded = peer::DecodeCancellationConfirmation(std::string_view(frame).substr(4));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->from, "m-1");
  EXPECT_EQ(decoded->to, "m-2");
  EXPECT_EQ(decoded->jobs, (std::vector<std::string>{"job-1", "job-2"}));
  EXPECT_FALSE(peer::DecodeCancellationConfirmation(std::string_view(frame).substr(4, 9)));
}

}  // namespace
}  // namespace badgershore::wire
