// This cell's share of the teams' limits and guarantees, where there are several cells: its durable
// record, what is told to and heard from other cells' leaders, and what of it the Occupancy may
// use. Where the cell is alone there is none of it, and the settings' word holds.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/leader/part.h"
#include "limits/escrow.h"

namespace badgershore {

limits::Settings LimitsSettings(const CellsPlan& plan);

class Rights : public Part {
 public:
  explicit Rights(const LeaderContext* context);

  bool alone() const { return !escrow_; }
  // The record as read after the win; `stamp` 0: there is none.
  void Load(const Entry& e);
  void Begin(Micros now);
  void Tick(Micros now);
  void OnNote(Micros now, const limits::CellMessage& note);
  // For people: what is held, and whether it may be used.
  std::string Summary() const;
  const limits::Escrow* escrow() const { return escrow_.get(); }

 private:
  struct Waits {  // how long a team has had room below its limit and still waits for machines
    Micros since = kNever;
  };
  int64_t TimeOfDay(Micros now) const { return began_ms() + (now - began()).ToMillis(); }
  void Measure(Micros now);
  void Apply();
  void Speak(Micros now);
  void Write(Micros now);
  void Written(Micros now, StateResponse& r, uint64_t number);
  void LookAgain(Micros now, uint64_t number);

  std::unique_ptr<limits::Escrow> escrow_;
  std::optional<limits::EscrowRecord> read_;
  uint64_t stamp_ = 0;
  bool writing_ = false;
  Micros write_at_, speak_at_, measure_at_;
  std::map<std::string, std::string> leaders_;  // cell -> where its leader was last heard
  std::map<std::string, Micros> heard_at_;
  std::vector<Waits> waits_;  // by team's number
  std::string told_;          // the last that was logged
};

}  // namespace badgershore
