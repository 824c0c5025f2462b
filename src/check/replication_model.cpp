#include "check/replication_model.h"

#include <algorithm>
#include <map>
#include <sstream>

#include "replication/core/replica.h"

namespace badgershore::check {
namespace {

using replication::Effects;
using replication::Message;
using replication::PersistentState;
using replication::Position;
using replication::Replica;

constexpr Micros kStep = Millis(350);
constexpr Micros kLease = Millis(1000);
constexpr size_t kReplicas = 3;
constexpr Micros kMessageTimeout = Seconds(2);

std::string Name(size_t i) { return std::string(1, static_cast<char>('a' + i)); }

class World : public ReplayableModel {
 public:
  struct Disk {
    PersistentState stored;
    std::vector<uint64_t> batches;  // the numbers of its batches, which stand for the state
  };
  struct Host {
    Disk disk;
    std::unique_ptr<Replica> replica;
    bool paused = false;  // process pause

    std::string FormatBatches() const {
      std::string out;
      for (const uint64_t batch : disk.batches) out += std::to_string(batch) + ".";
      return out;
    }
  };
  struct SentMessage {
    size_t to = 0;
    Message message;
    Micros at;
  };

  explicit World(const ReplicationPlan& plan) : plan_(plan) {
    for (size_t i = 0; i < kReplicas; ++i) {
      hosts_[i].disk.stored.history = "h";
      hosts_[i].disk.stored.member = true;
      Start(i);
    }
    // The initial state: one replica leads and has committed a batch.
    for (int tick = 0; tick < plan.first_leader_ticks; ++tick) {
      AdvanceTime();
      DeliverAll();
    }
    for (size_t i = 0; i < kReplicas; ++i) {
      if (hosts_[i].replica->CanPropose()) Propose(i);
    }
    DeliverAll();
    proposals_ = time_steps_ = 0;
  }

  std::vector<std::string> Events() const override {
    std::vector<std::string> out;
    if (time_steps_ < plan_.time_steps) out.emplace_back("time");
    for (size_t i = 0; i < kReplicas; ++i) {
      const Host& host = hosts_[i];
      if (restarts_ < plan_.restarts) out.push_back("ends " + Name(i));
      if (disk_losses_ < plan_.disk_losses) out.push_back("wiped " + Name(i));
      if (proposals_ < plan_.proposals && host.replica->CanPropose()) {
        out.push_back("proposes " + Name(i));
      }
      if (host.paused || time_steps_ < plan_.time_steps) out.push_back("still " + Name(i));
    }
    for (size_t m = 0; m < network_.size(); ++m) {
      if (hosts_[network_[m].to].paused) continue;
      out.push_back("delivered " + std::to_string(m));
      if (losses_ < plan_.losses) out.push_back("lost " + std::to_string(m));
    }
    return out;
  }

  void Apply(const std::string& event) override {
    const size_t space = event.find(' ');
    const std::string what = event.substr(0, space);
    if (what == "time") {
      ++time_steps_;
      return AdvanceTime();
    }
    if (what == "delivered" || what == "lost") {
      const size_t m = std::stoul(event.substr(space + 1));
      const SentMessage sent = network_[m];
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(m));
      losses_ += what == "lost";
      if (what == "delivered") Deliver(sent);
      return;
    }
    const auto i = static_cast<size_t>(event[space + 1] - 'a');
    if (what == "ends") {
      ++restarts_;
      Restart(i);
    } else if (what == "wiped") {
      ++disk_losses_;
      hosts_[i].disk = Disk{};
      Start(i);
    } else if (what == "still") {
      hosts_[i].paused = !hosts_[i].paused;
    } else {
      ++proposals_;
      Propose(i);
    }
  }

  std::string Key() const override {
    std::ostringstream out;
    out << now_.count << ' ' << time_steps_ << ' ' << restarts_ << ' ' << disk_losses_ << ' '
        << losses_ << ' ' << proposals_ << ' ' << committed_.size();
    for (size_t i = 0; i < kReplicas; ++i) {
      const Host& host = hosts_[i];
      const Replica& r = *host.replica;
      out << '|' << static_cast<int>(r.role()) << r.ready() << host.paused << ' ' << r.term() << ' '
          << r.leader() << ' ' << r.stored().position.term << ',' << r.stored().position.index
          << ' ' << r.stored().vote.term << r.stored().vote.candidate << r.stored().member << ' '
          << r.HoldsLeaderLease(Clock(i)) << ' ' << r.Describe(Clock(i)) << ' '
          << host.FormatBatches();
    }
    std::vector<std::string> messages;
    for (const SentMessage& sent : network_) messages.push_back(FormatMessage(sent));
    std::sort(messages.begin(), messages.end());
    for (const std::string& m : messages) out << ';' << m;
    return out.str();
  }

  std::string Violation() const override {
    int serving = 0;
    for (size_t i = 0; i < kReplicas; ++i) {
      if (!hosts_[i].replica->HoldsLeaderLease(Clock(i))) continue;
      ++serving;
      const auto& batches = hosts_[i].disk.batches;
      for (size_t k = 0; k < committed_.size(); ++k) {
        if (k >= batches.size() || batches[k] != committed_[k]) {
          return Name(i) + " may serve without a committed batch";
        }
      }
    }
    if (serving > 1) return "two replicas may serve at the same time";
    for (size_t i = 0; i < kReplicas; ++i) {
      for (size_t k = i + 1; k < kReplicas; ++k) {
        const Disk &a = hosts_[i].disk, &b = hosts_[k].disk;
        const bool same = a.stored.position == b.stored.position && a.stored.position.index > 0;
        if (same && a.batches != b.batches) return "two states at the same position differ";
      }
    }
    return "";
  }

 private:
  static std::string FormatMessage(const SentMessage& sent) {
    std::ostringstream out;
    const Message& m = sent.message;
    out << m.from << Name(sent.to) << m.body.index() << m.history;
    if (const auto* v = std::get_if<replication::VoteRequest>(&m.body)) {
      out << v->term << v->probe << v->position.term << ',' << v->position.index;
    } else if (const auto* v = std::get_if<replication::VoteResponse>(&m.body)) {
      out << v->term << v->probe << v->granted;
    } else if (const auto* a = std::get_if<replication::AppendRequest>(&m.body)) {
      out << a->term << ' ' << a->sent.count;
      if (a->entry) out << ' ' << a->entry->position.term << ',' << a->entry->position.index;
    } else if (const auto* p = std::get_if<replication::SnapshotChunk>(&m.body)) {
      out << p->term << ' ' << p->sent.count << ' ' << p->position.index << p->bytes;
    } else if (const auto* a = std::get_if<replication::AppendResponse>(&m.body)) {
      out << a->term << ' ' << a->sent.count << ' ' << a->position.term << ',' << a->position.index
          << a->member;
    }
    return out.str();
  }

  Micros Clock(size_t i) const {
    const bool slow = plan_.fault == ReplicationFault::kSlowClock && i == 0;
    return slow ? now_.Scaled(0.2) : now_;
  }

  void Start(size_t i) {
    replication::Settings settings;
    settings.self = Name(i);
    for (size_t k = 0; k < kReplicas; ++k) settings.replicas.push_back(Name(k));
    settings.lease = kLease;
    settings.heartbeat = kStep;
    settings.rejoin_after = Seconds(2);
    hosts_[i].paused = false;
    PersistentState stored = hosts_[i].disk.stored;
    if (plan_.fault == ReplicationFault::kEmptyDiskIsMember && stored.history.empty()) {
      stored.history = "h";
      stored.member = true;
    }
    hosts_[i].disk.stored = stored;
    hosts_[i].replica = std::make_unique<Replica>(settings, stored, i + 1, Clock(i));
  }

  void Restart(size_t i) {
    Disk& disk = hosts_[i].disk;
    if (plan_.fault == ReplicationFault::kLosesDurableState && !disk.batches.empty()) {
      disk.batches.pop_back();
      disk.stored.position = {};
    }
    Start(i);
  }

  void AdvanceTime() {
    now_ += kStep;
    for (size_t i = 0; i < kReplicas; ++i) {
      if (hosts_[i].paused) continue;
      hosts_[i].replica->Tick(Clock(i));
      PerformEffects(i);
    }
    // Older messages are lost: the sender's connection has timed out.
    std::erase_if(network_,
                  [&](const SentMessage& sent) { return sent.at + kMessageTimeout < now_; });
  }

  void Propose(size_t i) {
    store::Batch batch;
    batch.last_lease_id = ++next_batch_;  // identifies the batch
    hosts_[i].replica->Propose(Clock(i), std::move(batch));
    PerformEffects(i);
  }

  void Deliver(const SentMessage& sent) {
    hosts_[sent.to].replica->OnMessage(Clock(sent.to), sent.message);
    PerformEffects(sent.to);
  }

  void DeliverAll() {
    for (int round = 0; round < 200 && !network_.empty(); ++round) {
      const SentMessage sent = network_.front();
      network_.erase(network_.begin());
      Deliver(sent);
    }
  }

  // Performs the replica's effects; its disk is instantaneous and fails only with the host.
  void PerformEffects(size_t i) {
    Host& host = hosts_[i];
    for (;;) {
      Effects out = host.replica->Take();
      for (auto& [to, message] : out.send) {
        network_.push_back({static_cast<size_t>(to[0] - 'a'), std::move(message), now_});
      }
      for (const Position& position : out.committed) {
        if (position == host.disk.stored.position) committed_ = host.disk.batches;
        const auto* last = host.disk.batches.empty() ? nullptr : &host.disk.batches.back();
        if (plan_.coverage)
          ++(last && *last == 0 ? plan_.coverage->leaders : plan_.coverage->commits);
      }
      if (out.load_snapshot) {
        std::string bytes;
        for (const uint64_t batch : host.disk.batches) bytes += static_cast<char>(batch);
        bytes += '\0';  // a snapshot is never empty
        host.replica->OnImage(Clock(i), host.disk.stored.position, std::move(bytes));
        continue;
      }
      if (!out.write) return;
      const bool image = std::holds_alternative<replication::PersistSnapshot>(*out.write);
      if (plan_.coverage) plan_.coverage->images += image;
      ApplyWrite(&host.disk, *out.write);
      host.replica->OnStored(Clock(i), true);
    }
  }

  static void ApplyWrite(Disk* disk, const replication::Write& write) {
    if (const auto* vote = std::get_if<replication::PersistVote>(&write)) {
      disk->stored.vote = vote->vote;
      disk->stored.member = vote->member;
    } else if (const auto* entry = std::get_if<replication::PersistEntry>(&write)) {
      disk->stored.position = entry->entry.position;
      disk->stored.history = entry->history;
      disk->batches.push_back(entry->entry.batch ? entry->entry.batch->last_lease_id : 0);
    } else if (const auto* image = std::get_if<replication::PersistSnapshot>(&write)) {
      disk->stored.position = image->position;
      disk->stored.history = image->history;
      disk->batches.assign(image->bytes.begin(), image->bytes.end() - 1);
    }
  }

  ReplicationPlan plan_;
  Host hosts_[kReplicas];
  std::vector<SentMessage> network_;
  std::vector<uint64_t> committed_;  // the longest chain that was reported as committed
  Micros now_ = Seconds(10);
  uint64_t next_batch_ = 0;
  int time_steps_ = 0, restarts_ = 0, disk_losses_ = 0, losses_ = 0, proposals_ = 0;
};

}  // namespace

std::unique_ptr<ReplayableModel> MakeReplicationModel(const ReplicationPlan& plan) {
  return std::make_unique<World>(plan);
}

ReplayedWorld ReplicationModel(const ReplicationPlan& plan) {
  return ReplayedWorld([plan] { return MakeReplicationModel(plan); });
}

}  // namespace badgershore::check
