// Measures the cost of sharing team limits among cells: messages and durable writes per second of
// each cell, their sizes, and the time until a cell with all the demand holds nearly the whole
// limit. Runs the quota ledgers alone, without processes or network: messages are exchanged every
// half second and records are written immediately.
#include <chrono>
#include <cstdio>
#include <random>

#include "limits/quota_ledger.h"
#include "peer/messages.h"
#include "wire/records.h"

using namespace badgershore;

namespace {

struct Totals {
  double messages = 0, message_bytes = 0, writes = 0, record_bytes = 0, seconds = 0, spent_us = 0;
};

// `demand` returns the demand of a team in a cell at a given time.
template <typename Demand>
Totals Run(int cells, int seconds, Demand demand, double* nearly_all_s) {
  limits::Settings settings;
  for (int i = 0; i < cells; ++i)
    settings.cells.push_back({"cell-" + std::to_string(i), true, false, ""});
  const int64_t limit = 5000000;
  limits::TeamAmounts team_limits;
  for (const char* team : {"counter", "desk", "accounts"}) {
    team_limits[team] = {limit, limits::kUnlimited, limit / 2, 0};
  }
  std::vector<limits::QuotaLedger> all;
  for (int i = 0; i < cells; ++i) {
    settings.self = settings.cells[static_cast<size_t>(i)].name;
    all.emplace_back(settings);
    all.back().SetTotals(team_limits);
    all.back().Load(std::nullopt, 1);
  }
  Totals sum;
  sum.seconds = seconds;
  for (int64_t now = 1000; now < seconds * 1000; now += 500) {
    const auto start = std::chrono::steady_clock::now();
    for (size_t i = 0; i < all.size(); ++i) {
      for (const auto& [team, amounts] : team_limits)
        all[i].SetDemand(team, demand(i, now, team, all[i]));
      all[i].Tick(now);
      const auto write = [&sum](limits::QuotaLedger* e) {
        const auto record = e->RecordToWrite();
        if (!record) return;
        e->OnWritten(record->number);
        ++sum.writes;
        wire::Writer w;
        wire::PutRecord(&w, *record);
        sum.record_bytes = std::max(sum.record_bytes, static_cast<double>(w.Done().size()));
      };
      write(&all[i]);
      for (const limits::CellMessage& message : all[i].Messages()) {
        ++sum.messages;
        sum.message_bytes += static_cast<double>(peer::EncodeFrame(message).size());
        const auto to = static_cast<size_t>(std::stoi(message.to.substr(5)));
        all[to].OnMessage(message, now);
      }
    }
    sum.spent_us +=
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
    if (nearly_all_s && *nearly_all_s < 0 &&
        all[0].Usable("desk", limits::kLimitCpu) >= limit * 95 / 100) {
      *nearly_all_s = static_cast<double>(now - 10000) / 1000;
    }
  }
  return sum;
}

}  // namespace

int main() {
  std::printf(
      "cells  need      notes/s  bytes each  writes/s  record bytes  us a second  95%% after\n");
  for (const int cells : {3, 6, 10, 16}) {
    std::mt19937_64 random(7);
    const auto show = [&](const char* what, const Totals& s, double after) {
      const double per = s.seconds * cells;
      std::printf("%5d  %-8s  %7.1f  %10.0f  %8.2f  %12.0f  %11.0f", cells, what, s.messages / per,
                  s.message_bytes / s.messages, s.writes / per, s.record_bytes, s.spent_us / per);
      if (after >= 0) std::printf("  %.1f s", after);
      std::printf("\n");
    };
    double after = -1;
    const auto one = [](size_t i, int64_t now, const std::string&, const limits::QuotaLedger&) {
      limits::QuotaDemand demand;
      if (i == 0 && now >= 10000) demand.additional = {9000000, 0, 9000000, 0};
      return demand;
    };
    const Totals in_one = Run(cells, 120, one, &after);
    show("in one", in_one, after);
    // The demand of each team in each cell is drawn again every ten seconds.
    std::map<std::pair<size_t, std::string>, limits::QuotaDemand> random_demand;
    const auto changing = [&](size_t i, int64_t now, const std::string& team,
                              const limits::QuotaLedger& e) {
      limits::QuotaDemand& demand = random_demand[{i, team}];
      if (now % 10000 == 0) {
        const int64_t all = static_cast<int64_t>(random() % 4000000);
        demand.used[0] = std::min(all, e.Usable(team, limits::kLimitCpu));
        demand.additional = {all - demand.used[0], 0, all / 4, 0};
        demand.waiting_since_ms = now;
      }
      return demand;
    };
    show("changing", Run(cells, 300, changing, nullptr), -1);
  }
  return 0;
}
