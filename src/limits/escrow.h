// A cell's side of dividing teams' limits and guarantees among cells (escrow, O'Neil 1986; bounded
// counters, Balegas et al. 2015): rights are handed over pairwise, each transfer numbered, durable
// at the giver before it is told, durable at the taker before it is used, repeated until it is
// acknowledged, applied once. No cell asks another for leave to use what it holds.
//
// Pure: no clock, no socket. Its owner writes what ToWrite says, tells what Notes says, and asks
// Usable before anything starts.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "limits/rights.h"

namespace badgershore::limits {

struct Cell {
  std::string name;
  bool founding = true;  // had its part of the rights from the beginning
  bool drains = false;   // takes nothing, gives all but its floor
  std::string heir;      // not empty: gone for good, and its rights are that cell's
};

struct Settings {
  std::string self;
  std::vector<Cell> cells;        // all, this one among them
  int64_t units = 720'720'000;    // a right's whole: divides evenly among up to 16 cells
  double floor_share = 0.05;      // of an equal share: never given, usable without hearing anyone
  double least_share = 0.01;      // of an equal share: less is not handed over to who has more
  int64_t first_pause_ms = 1000;  // who has given asks back after this, twice as long each time
  int64_t most_pause_ms = 30000;
};

// The share of a whole that one cell can ever gather: others' floors stay theirs.
double Gatherable(const Settings& settings);

// What a cell's own work needs of a team's rights, in thousandths.
struct Need {
  Four used{};  // now, or perhaps
  Four more{};  // could be used beside that at once
  int64_t since_ms = 0;
  int rank = 3;
  bool whole = false;  // `more` is a gang's that waits for the limit
};

std::string Show(const EscrowRecord& record);
std::string Show(const CellMessage& note);

class Escrow {
 public:
  explicit Escrow(Settings settings);

  // What each team's whole is by this cell's settings. Changed by a restart.
  void SetWhole(const Amounts& whole);
  // The durable record as read after a win; nothing: there is none. `nonce` grows with every
  // reading, whatever becomes of the record: the time of day does.
  void Load(const std::optional<EscrowRecord>& record, uint64_t nonce);
  bool loaded() const { return loaded_; }
  void SetNeed(const std::string& team, const Need& need);
  // What another cell's leader says. False: from a cell that is not named, or not for this one.
  bool OnNote(const CellMessage& note, int64_t now_ms);
  // Decides what to hand over.
  void Tick(int64_t now_ms);

  // The record to write next, guarded by the version that was read or written last. Asked again
  // while the answer is not known it gives the same.
  std::optional<EscrowRecord> ToWrite();
  void Written(uint64_t number);
  // Surely not written: it may be put together anew.
  void NotWritten();
  // To every cell that is not gone; only what is durable is in them.
  std::vector<CellMessage> Notes() const;

  // Thousandths that may be used at once; kUnlimited where there is no limit.
  int64_t Usable(const std::string& team, Kind kind) const;
  // Empty, or why only the floor may be used.
  const std::string& standing_by() const { return standing_by_; }
  // Cells that have not been heard since the record was read.
  std::set<std::string> Unheard() const;
  const EscrowRecord& durable() const { return durable_; }
  std::string Show() const;  // all of its state

 private:
  struct Peer {
    bool heard = false;  // in answer to this reading of the record
    CellMessage note;
  };
  const Cell* Find(const std::string& name) const;
  bool Live(const std::string& cell) const;
  int64_t Share() const;  // of a founding cell
  int64_t Equal() const;  // among all that are there
  int64_t Floor() const;
  int64_t Whole(const std::string& team, Kind kind) const;
  int64_t ToUnits(const std::string& team, Kind kind, int64_t amount) const;
  int64_t Used(const std::string& team, Kind kind) const;
  bool AllHeard() const { return Unheard().empty(); }
  void StandBy(const std::string& why);
  Want OwnWant(const std::string& team) const;
  bool GoesFirst(const Want& a, const std::string& cell_a, const Want& b,
                 const std::string& cell_b) const;
  int64_t Owed(const std::string& team, Kind kind, const std::string& cell) const;
  int64_t Gives(const std::string& team, Kind kind, const std::string& cell, int64_t left) const;
  void Give(const std::string& cell, int64_t now_ms);
  void TakeFrom(const CellMessage& note);
  void Settle(const CellMessage& note);
  void CloseGone();
  void Inherit();
  void Agree();
  Four& HeldOf(EscrowRecord* r, const std::string& team) const;

  Settings settings_;
  Amounts own_whole_;
  bool loaded_ = false;
  uint64_t nonce_ = 0;
  EscrowRecord durable_;              // surely there
  EscrowRecord next_;                 // with what has been decided since
  std::optional<EscrowRecord> sent_;  // told to be written, its answer not known
  std::map<std::string, Need> needs_;
  std::map<std::string, Peer> peers_;
  struct Pause {
    int64_t gave_at = 0, span = 0;
  };
  std::map<std::string, Pause> pauses_;  // by team
  int64_t now_ms_ = 0;
  std::string standing_by_;
};

}  // namespace badgershore::limits
