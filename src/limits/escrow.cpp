#include "limits/escrow.h"

#include <algorithm>
#include <tuple>

namespace badgershore::limits {
namespace {

const Four kNone{};

const Four& At(const Amounts& a, const std::string& team) {
  auto it = a.find(team);
  return it == a.end() ? kNone : it->second;
}

// a * b / c without passing the range of 64 bits.
int64_t MulDiv(int64_t a, int64_t b, int64_t c, bool up) {
  const auto product = static_cast<__int128>(a) * b;
  return static_cast<int64_t>((product + (up ? c - 1 : 0)) / c);
}

bool IsLimit(int kind) { return kind == kLimitCpu || kind == kLimitGpu; }

}  // namespace

double Gatherable(const Settings& settings) {
  int founding = 0, others = 0;
  for (const Cell& c : settings.cells) {
    founding += c.founding;
    others += c.founding && c.heir.empty() && c.name != settings.self;
  }
  return founding == 0 ? 0 : 1 - settings.floor_share * others / founding;
}

Escrow::Escrow(Settings settings) : settings_(std::move(settings)) {}

const Cell* Escrow::Find(const std::string& name) const {
  for (const Cell& c : settings_.cells)
    if (c.name == name) return &c;
  return nullptr;
}

bool Escrow::Live(const std::string& cell) const {
  const Cell* c = Find(cell);
  return c && c->heir.empty();
}

int64_t Escrow::Share() const {
  int64_t founding = 0;
  for (const Cell& c : settings_.cells) founding += c.founding;
  return settings_.units / std::max<int64_t>(1, founding);
}

int64_t Escrow::Equal() const {
  int64_t live = 0;
  for (const Cell& c : settings_.cells) live += c.heir.empty();
  return settings_.units / std::max<int64_t>(1, live);
}

// By the cells there were at first, so that it is the same for ever, whatever cells come and go.
int64_t Escrow::Floor() const {
  const Cell* self = Find(settings_.self);
  if (!self || !self->founding) return 0;
  return static_cast<int64_t>(static_cast<double>(Share()) * settings_.floor_share);
}

void Escrow::SetWhole(const Amounts& whole) { own_whole_ = whole; }

Four& Escrow::HeldOf(EscrowRecord* r, const std::string& team) const {
  auto [it, fresh] = r->held.try_emplace(team);
  if (fresh) {
    const Cell* self = Find(settings_.self);
    // What does not divide evenly is the first founding cell's.
    int64_t part = self && self->founding ? Share() : 0;
    int64_t founding = 0;
    const Cell* first = nullptr;
    for (const Cell& c : settings_.cells) {
      founding += c.founding;
      if (c.founding && (!first || c.name < first->name)) first = &c;
    }
    if (first == self && founding > 0) part += settings_.units - Share() * founding;
    it->second.fill(part);
  }
  return it->second;
}

void Escrow::Load(const std::optional<EscrowRecord>& record, uint64_t nonce) {
  loaded_ = true;
  nonce_ = nonce;
  durable_ = record.value_or(EscrowRecord{});
  sent_.reset();
  peers_.clear();
  standing_by_.clear();
  next_ = durable_;
  for (const auto& [team, whole] : own_whole_) {
    HeldOf(&next_, team);
    auto [it, fresh] = next_.whole.try_emplace(team, whole);
    if (fresh) continue;
    for (int k = 0; k < kKinds; ++k) {
      it->second[static_cast<size_t>(k)] =
          std::min(it->second[static_cast<size_t>(k)], whole[static_cast<size_t>(k)]);
    }
  }
  CloseGone();
}

void Escrow::SetNeed(const std::string& team, const Need& need) { needs_[team] = need; }

std::set<std::string> Escrow::Unheard() const {
  std::set<std::string> out;
  for (const Cell& c : settings_.cells) {
    if (c.name == settings_.self || !c.heir.empty()) continue;
    auto it = peers_.find(c.name);
    if (it == peers_.end() || !it->second.heard) out.insert(c.name);
  }
  return out;
}

void Escrow::StandBy(const std::string& why) {
  if (standing_by_.empty()) standing_by_ = why;
}

// ---- What may be used ----

int64_t Escrow::Whole(const std::string& team, Kind kind) const {
  const auto k = static_cast<size_t>(kind);
  auto own = own_whole_.find(team);
  int64_t whole = own == own_whole_.end() ? 0 : own->second[k];
  for (const EscrowRecord* r : {&durable_, &next_}) {
    auto it = r->whole.find(team);
    if (it != r->whole.end()) whole = std::min(whole, it->second[k]);
  }
  // Where the settings differ for a while, the lower counts.
  for (const auto& [name, peer] : peers_) {
    if (!Live(name)) continue;
    auto it = peer.note.whole.find(team);
    if (it != peer.note.whole.end()) whole = std::min(whole, it->second[k]);
  }
  return whole;
}

int64_t Escrow::ToUnits(const std::string& team, Kind kind, int64_t amount) const {
  const int64_t whole = Whole(team, kind);
  if (amount <= 0 || whole >= kUnlimited) return 0;
  if (whole <= 0) return settings_.units;
  return std::min(settings_.units, MulDiv(std::min(amount, whole), settings_.units, whole, true));
}

int64_t Escrow::Used(const std::string& team, Kind kind) const {
  auto it = needs_.find(team);
  return it == needs_.end() ? 0 : ToUnits(team, kind, it->second.used[static_cast<size_t>(kind)]);
}

int64_t Escrow::Usable(const std::string& team, Kind kind) const {
  if (!loaded_) return 0;
  const int64_t whole = Whole(team, kind);
  if (whole >= kUnlimited) return kUnlimited;
  const auto k = static_cast<size_t>(kind);
  // Durable before it is used; not used any more as soon as it may be given away.
  int64_t units = At(durable_.held, team)[k];
  units = std::min(units, At(next_.held, team)[k]);
  if (sent_) units = std::min(units, At(sent_->held, team)[k]);
  // A record that an older copy of the state service may have brought back is no proof of what
  // was not given since; what is never given is.
  if (!standing_by_.empty() || !AllHeard()) units = std::min(units, Floor());
  // What is owed to others is left to them as it becomes free.
  int64_t owed = 0;
  for (const auto& [name, peer] : peers_) owed += Owed(team, kind, name);
  units = std::max(units - owed, std::min(units, Floor()));
  return MulDiv(std::max<int64_t>(0, units), std::max<int64_t>(0, whole), settings_.units, false);
}

// ---- Who asks, and what is handed over ----

Want Escrow::OwnWant(const std::string& team) const {
  Want want;
  auto need = needs_.find(team);
  const Cell* self = Find(settings_.self);
  if (need == needs_.end() || !self || self->drains) return want;
  want.since_ms = need->second.since_ms;
  want.rank = need->second.rank;
  want.whole = need->second.whole;
  for (int k = 0; k < kKinds; ++k) {
    const auto i = static_cast<size_t>(k);
    const auto kind = static_cast<Kind>(k);
    if (need->second.more[i] <= 0 || Whole(team, kind) >= kUnlimited) continue;
    const int64_t all = ToUnits(team, kind, need->second.used[i] + need->second.more[i]);
    want.units[i] = std::max<int64_t>(0, all - At(next_.held, team)[i]);
  }
  return want;
}

// A total order over all that wait, so that two gangs never keep halves from each other.
bool Escrow::GoesFirst(const Want& a, const std::string& cell_a, const Want& b,
                       const std::string& cell_b) const {
  return std::tie(a.rank, a.since_ms, cell_a) < std::tie(b.rank, b.since_ms, cell_b);
}

// What this cell has to leave to another although its own work could use it: all that a gang there
// which goes before everything here waits for, else what lifts the other to an equal share.
int64_t Escrow::Owed(const std::string& team, Kind kind, const std::string& cell) const {
  auto it = peers_.find(cell);
  if (it == peers_.end() || !it->second.heard || !Live(cell)) return 0;
  auto asked = it->second.note.wants.find(team);
  if (asked == it->second.note.wants.end()) return 0;
  const auto k = static_cast<size_t>(kind);
  const Want& want = asked->second;
  if (want.units[k] <= 0) return 0;
  const int64_t held = At(next_.held, team)[k];
  const int64_t theirs = At(it->second.note.held, team)[k];
  // What waits here, and be it only for a machine.
  const Want own = OwnWant(team);
  auto need = needs_.find(team);
  const bool waits = need != needs_.end() && need->second.more[k] > 0;
  if (want.whole && (!waits || GoesFirst(want, cell, own, settings_.self))) {
    // Each gives by what it holds; what is one's floor stays.
    return std::clamp<int64_t>(want.units[k], 0, std::max<int64_t>(0, held - Floor()));
  }
  // A gang that gathers here and goes before what waits there keeps what it has.
  if (waits && own.whole && GoesFirst(own, settings_.self, want, cell)) return 0;
  const int64_t equal = Equal();
  const int64_t least = static_cast<int64_t>(static_cast<double>(equal) * settings_.least_share);
  const int64_t owed = std::min({want.units[k], held - equal, equal - theirs});
  return owed > least ? owed : 0;
}

int64_t Escrow::Gives(const std::string& team, Kind kind, const std::string& cell,
                      int64_t left) const {
  const auto k = static_cast<size_t>(kind);
  const Peer& peer = peers_.at(cell);
  auto asked = peer.note.wants.find(team);
  if (asked == peer.note.wants.end() || asked->second.units[k] <= 0) return 0;
  const int64_t want = asked->second.units[k];
  const int64_t owed = Owed(team, kind, cell);
  if (owed > 0) return std::min(left, owed);
  const Want own = OwnWant(team);
  if (own.units[k] > 0) return 0;
  // Unused here. What the need here could grow by at once stays.
  auto need = needs_.find(team);
  const int64_t more = need == needs_.end() ? 0 : ToUnits(team, kind, need->second.more[k]);
  int64_t asking = 0;
  for (const auto& [name, p] : peers_) {
    auto w = p.note.wants.find(team);
    if (Live(name) && p.heard && w != p.note.wants.end()) asking += w->second.units[k];
  }
  const int64_t free = std::max<int64_t>(0, left - more);
  return std::min(want, asking > 0 ? MulDiv(free, want, std::max(want, asking), false) : 0);
}

void Escrow::Give(const std::string& cell, int64_t now_ms) {
  Account& account = next_.accounts[cell];
  if (account.closed || !account.under_way.empty()) return;
  Amounts given;
  for (const auto& [team, whole] : own_whole_) {
    Four four{};
    bool any = false;
    for (int k = 0; k < kKinds; ++k) {
      const auto i = static_cast<size_t>(k);
      const auto kind = static_cast<Kind>(k);
      if (Whole(team, kind) >= kUnlimited) continue;
      const int64_t keep = std::max(Floor(), IsLimit(k) ? Used(team, kind) : 0);
      const int64_t left = std::min(At(durable_.held, team)[i], At(next_.held, team)[i]) - keep;
      if (left <= 0) continue;
      four[i] = std::min(left, Gives(team, kind, cell, left));
      any = any || four[i] > 0;
    }
    if (any) given[team] = four;
  }
  if (given.empty()) return;
  for (const auto& [team, four] : given) {
    Four& held = HeldOf(&next_, team);
    Four& net = account.net[team];
    for (size_t i = 0; i < kKinds; ++i) {
      held[i] -= four[i];
      net[i] += four[i];
    }
    Pause& pause = pauses_[team];
    const bool again = now_ms - pause.gave_at < 2 * settings_.most_pause_ms;
    pause.gave_at = now_ms;
    if (!again) pause.span = settings_.first_pause_ms;
  }
  ++account.sent;
  account.under_way = given;
}

// ---- Notes ----

bool Escrow::OnNote(const CellMessage& note, int64_t now_ms) {
  if (!loaded_ || note.to != settings_.self || note.from == settings_.self || !Live(note.from)) {
    return false;
  }
  now_ms_ = std::max(now_ms_, now_ms);
  Account& account = next_.accounts[note.from];
  const Account& known = durable_.accounts[note.from];
  // The other's numbers prove what this cell has done; a record that knows less is an old copy.
  if (note.taken > account.sent) {
    StandBy(note.from + " has taken transfer " + std::to_string(note.taken) + " of " +
            std::to_string(account.sent) + ": the record here is older than what was given");
  } else if (note.sent > account.taken + 1) {
    StandBy(note.from + " has sent transfer " + std::to_string(note.sent) + " after " +
            std::to_string(account.taken) + " taken here: the record here is an old copy");
  }
  Peer& peer = peers_[note.from];
  if (note.nonce < account.nonce) return true;
  account.nonce = note.nonce;
  if (!standing_by_.empty()) return true;
  // The other one's record is an old copy: it finds that out by this cell's numbers, and is dealt
  // with again when it is right.
  if (note.sent < known.taken || note.taken + 1 < known.sent) return true;
  // A note that was overtaken says nothing new.
  if (std::tie(note.term, note.sent, note.taken) <
      std::tie(peer.note.term, peer.note.sent, peer.note.taken)) {
    return true;
  }
  peer.note = note;
  // Numbers from before this reading could agree with an old copy of the record.
  peer.heard = peer.heard || note.echo == nonce_;
  Settle(note);
  TakeFrom(note);
  Inherit();
  return true;
}

// The other has what was under way to it.
void Escrow::Settle(const CellMessage& note) {
  Account& account = next_.accounts[note.from];
  if (note.taken == account.sent && !account.under_way.empty() &&
      durable_.accounts[note.from].sent == account.sent) {
    account.under_way.clear();
  }
}

void Escrow::TakeFrom(const CellMessage& note) {
  Account& account = next_.accounts[note.from];
  if (account.closed || note.under_way.empty() || note.sent != account.taken + 1) return;
  for (const auto& [team, four] : note.under_way) {
    Four& held = HeldOf(&next_, team);
    Four& net = account.net[team];
    for (size_t i = 0; i < kKinds; ++i) {
      held[i] += four[i];
      net[i] -= four[i];
    }
  }
  account.taken = note.sent;
}

std::vector<CellMessage> Escrow::Notes() const {
  std::vector<CellMessage> out;
  if (!loaded_) return out;
  for (const Cell& c : settings_.cells) {
    if (c.name == settings_.self || !c.heir.empty()) continue;
    CellMessage note;
    note.from = settings_.self;
    note.to = c.name;
    note.nonce = nonce_;
    auto it = durable_.accounts.find(c.name);
    if (it != durable_.accounts.end()) {
      note.sent = it->second.sent;
      note.taken = it->second.taken;
      note.echo = it->second.nonce;
      if (standing_by_.empty()) note.under_way = it->second.under_way;
    }
    note.held = durable_.held;
    note.whole = own_whole_;
    if (standing_by_.empty()) {
      for (const auto& [team, need] : needs_) {
        const Want want = OwnWant(team);
        auto pause = pauses_.find(team);
        // Who has just given does not ask back at once, but for what lifts it to an equal share.
        bool below = false;
        for (size_t i = 0; i < kKinds; ++i) {
          below = below || (want.units[i] > 0 && At(durable_.held, team)[i] < Equal());
        }
        if (!below && pause != pauses_.end() && pause->second.gave_at > 0 &&
            now_ms_ - pause->second.gave_at < pause->second.span) {
          continue;
        }
        if (want.any()) note.wants[team] = want;
      }
    }
    for (const auto& [name, account] : durable_.accounts) {
      if (account.closed) note.closed[name] = account.net;
    }
    out.push_back(std::move(note));
  }
  return out;
}

// ---- Cells that are gone ----

// An operator's word: it is gone for good, and its tasks with it. Nothing more is sent to it or
// taken from it; what has passed between the two is final.
void Escrow::CloseGone() {
  for (const Cell& c : settings_.cells) {
    if (c.heir.empty() || c.name == settings_.self) continue;
    Account& account = next_.accounts[c.name];
    account.closed = true;
    account.under_way.clear();
  }
}

// The heir adds what the gone cell had: its first share and all that others have sent it, less all
// they have taken, once every one of them has closed its account.
void Escrow::Inherit() {
  for (const Cell& gone : settings_.cells) {
    if (gone.heir != settings_.self || next_.inherited.contains(gone.name)) continue;
    std::vector<const Amounts*> nets;
    auto own = durable_.accounts.find(gone.name);
    if (own == durable_.accounts.end() || !own->second.closed) continue;
    nets.push_back(&own->second.net);
    bool all = true;
    for (const Cell& c : settings_.cells) {
      if (c.name == settings_.self || !c.heir.empty()) continue;
      auto it = peers_.find(c.name);
      all = all && it != peers_.end() && it->second.heard &&
            it->second.note.closed.contains(gone.name);
      if (all) nets.push_back(&it->second.note.closed.at(gone.name));
    }
    // A cell that went before it may have had dealings with it that nobody can tell of any more.
    for (const Cell& c : settings_.cells) all = all && (c.heir.empty() || c.name == gone.name);
    if (!all) continue;
    for (const auto& [team, whole] : own_whole_) {
      Four& held = HeldOf(&next_, team);
      for (size_t i = 0; i < kKinds; ++i) {
        int64_t had = gone.founding ? Share() : 0;
        for (const Amounts* net : nets) had += At(*net, team)[i];
        held[i] += std::max<int64_t>(0, had);
      }
    }
    next_.inherited[gone.name] = true;
  }
}

// ---- The clock, and writing ----

// A raise counts when all cells' settings say it; a lower one at once.
void Escrow::Agree() {
  for (const auto& [team, own] : own_whole_) {
    Four& agreed = next_.whole.try_emplace(team, own).first->second;
    for (size_t i = 0; i < kKinds; ++i) {
      int64_t least = own[i];
      bool all = AllHeard();
      for (const auto& [name, peer] : peers_) {
        if (!Live(name)) continue;
        auto it = peer.note.whole.find(team);
        // A cell that does not know the team yet: what it will say is not known.
        if (it == peer.note.whole.end()) {
          all = false;
        } else {
          least = std::min(least, it->second[i]);
        }
      }
      if (least < agreed[i] || all) agreed[i] = least;
    }
  }
}

void Escrow::Tick(int64_t now_ms) {
  if (!loaded_) return;
  now_ms_ = std::max(now_ms_, now_ms);
  for (const auto& [team, whole] : own_whole_) HeldOf(&next_, team);
  for (auto& [team, pause] : pauses_) {
    if (pause.gave_at == 0 || !OwnWant(team).any()) continue;
    // Asked back soon after it was given: longer before the next time.
    if (now_ms_ - pause.gave_at >= pause.span) {
      if (now_ms_ - pause.gave_at < 2 * settings_.most_pause_ms) {
        pause.span = std::min(settings_.most_pause_ms, pause.span * 2);
      }
      pause.gave_at = 0;
    }
  }
  if (!standing_by_.empty()) return;
  Agree();
  Inherit();
  // Its numbers have to be known to be right before anything is handed over.
  if (!AllHeard()) return;
  // Whoever goes first is served first.
  std::vector<std::string> order;
  for (const auto& [name, peer] : peers_)
    if (Live(name)) order.push_back(name);
  std::stable_sort(order.begin(), order.end(), [this](const std::string& a, const std::string& b) {
    const auto first = [this](const std::string& cell) {
      auto best = std::make_tuple(9, INT64_MAX);
      for (const auto& [team, w] : peers_.at(cell).note.wants) {
        if (w.any()) best = std::min(best, std::make_tuple(w.rank, w.since_ms));
      }
      return best;
    };
    return first(a) < first(b);
  });
  for (const std::string& cell : order) Give(cell, now_ms_);
}

std::optional<EscrowRecord> Escrow::ToWrite() {
  if (!loaded_) return std::nullopt;
  if (sent_) return sent_;
  if (next_ == durable_) return std::nullopt;
  next_.number = durable_.number + 1;
  sent_ = next_;
  return sent_;
}

void Escrow::Written(uint64_t number) {
  if (!sent_ || sent_->number != number) return;
  durable_ = *sent_;
  sent_.reset();
  next_.number = durable_.number;
}

void Escrow::NotWritten() { sent_.reset(); }

namespace {

void Print(std::string* out, const Amounts& amounts) {
  for (const auto& [team, four] : amounts) {
    *out += team;
    for (const int64_t n : four) *out += ',' + std::to_string(n);
    *out += ' ';
  }
}

void Print(std::string* out, const EscrowRecord& r) {
  *out += '#' + std::to_string(r.number) + " held ";
  Print(out, r.held);
  *out += "whole ";
  Print(out, r.whole);
  for (const auto& [cell, a] : r.accounts) {
    *out += cell + ':' + std::to_string(a.sent) + '/' + std::to_string(a.taken) +
            (a.closed ? " closed " : " ") + std::to_string(a.nonce) + ' ';
    Print(out, a.under_way);
    *out += "net ";
    Print(out, a.net);
  }
  for (const auto& [cell, yes] : r.inherited) *out += "heir of " + cell + ' ';
}

}  // namespace

std::string Show(const EscrowRecord& record) {
  std::string out;
  Print(&out, record);
  return out;
}

std::string Show(const CellMessage& n) {
  std::string out = n.from + '>' + n.to + ' ' + std::to_string(n.term) + ' ' +
                    std::to_string(n.nonce) + '~' + std::to_string(n.echo) + ' ' +
                    std::to_string(n.sent) + '/' + std::to_string(n.taken) + ' ';
  Print(&out, n.under_way);
  out += "held ";
  Print(&out, n.held);
  out += "whole ";
  Print(&out, n.whole);
  for (const auto& [team, w] : n.wants) {
    out += team + " wants " + std::to_string(w.units[0]) + ',' + std::to_string(w.units[1]) + ',' +
           std::to_string(w.units[2]) + ',' + std::to_string(w.units[3]) + (w.whole ? "! " : " ");
  }
  for (const auto& [cell, net] : n.closed) {
    out += "closed " + cell + ' ';
    Print(&out, net);
  }
  return out;
}

std::string Escrow::Show() const {
  std::string out = limits::Show(durable_) + '|' + limits::Show(next_);
  if (sent_) out += "|sent " + limits::Show(*sent_);
  for (const auto& [cell, peer] : peers_) {
    out += '|' + std::string(peer.heard ? "heard " : "not heard ") + limits::Show(peer.note);
  }
  if (!standing_by_.empty()) out += "|stands by: " + standing_by_;
  return out;
}

}  // namespace badgershore::limits
