#include "scale/core/capacity.h"

#include <cmath>
#include <cstdio>

#include "config/config.h"

namespace badgershore::scale {
namespace {

const std::string kBegin = "<!-- badgershore-scale capacity: begin -->\n";
const std::string kEnd = "<!-- badgershore-scale capacity: end -->\n";

// Formats a value with about three significant digits.
std::string Short(double value) {
  char text[32];
  if (value == 0) return "0";
  const double size = std::abs(value);
  if (size >= 1e-3 && size < 1e5) {
    const int digits = size >= 100 ? 0 : size >= 10 ? 1 : size >= 1 ? 2 : size >= 0.1 ? 3 : 4;
    std::snprintf(text, sizeof(text), "%.*f", digits, value);
  } else {
    std::snprintf(text, sizeof(text), "%.2e", value);
  }
  return text;
}

std::string Percent(double share) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f%%", share * 100);
  return text;
}

void AddRow(const std::vector<std::string>& cells, std::string* out) {
  *out += "|";
  for (const std::string& cell : cells) *out += " " + cell + " |";
  *out += "\n";
}

void AddHead(const std::vector<std::string>& cells, std::string* out) {
  AddRow(cells, out);
  AddRow(std::vector<std::string>(cells.size(), "---"), out);
}

std::vector<std::string> WithTerms(const std::string& first, const std::string& second) {
  std::vector<std::string> cells = {first, second};
  for (const std::string& term : TermNames()) cells.push_back("per " + term);
  return cells;
}

std::string LoadTable(const Load& load) {
  std::string out;
  AddHead({"load", "at that size"}, &out);
  const std::vector<double> terms = TermsOf(load);
  for (size_t k = 0; k < terms.size(); ++k) AddRow({TermNames()[k], Short(terms[k])}, &out);
  return out;
}

// For each measure the total and the part that each load term adds.
std::string UseTable(const std::map<std::string, Fit>& fits, const Load& load) {
  std::string out;
  std::vector<std::string> head = WithTerms("measure", "at that size");
  head.insert(head.begin() + 2, "at no load");
  AddHead(head, &out);
  const std::vector<double> terms = TermsOf(load);
  for (const auto& [measure, fit] : fits) {
    std::vector<std::string> cells = {measure, "**" + Short(fit.At(load)) + "**", Short(fit.base)};
    for (size_t k = 0; k < terms.size(); ++k) cells.push_back(Short(fit.slopes[k] * terms[k]));
    AddRow(cells, &out);
  }
  return out;
}

std::string SlopeTable(const std::map<std::string, Fit>& fits) {
  std::string out;
  std::vector<std::string> head = WithTerms("measure", "R²");
  head.emplace_back("left over");
  AddHead(head, &out);
  for (const auto& [measure, fit] : fits) {
    std::vector<std::string> cells = {measure, Short(fit.r_squared)};
    for (size_t k = 0; k < fit.slopes.size(); ++k) {
      cells.push_back(Short(fit.slopes[k]) + " ± " + Short(fit.errors[k]));
    }
    cells.push_back(Short(fit.spread));
    AddRow(cells, &out);
  }
  return out;
}

// By how much each measure exceeds the fit at the largest size of each axis.
std::string BendTable(const std::map<std::string, Fit>& fits) {
  std::string out;
  std::vector<std::string> head = {"measure"};
  for (const auto& [axis, bend] : fits.begin()->second.bend) head.push_back(axis);
  AddHead(head, &out);
  for (const auto& [measure, fit] : fits) {
    std::vector<std::string> cells = {measure};
    for (const auto& [axis, bend] : fit.bend) cells.push_back(Percent(bend));
    AddRow(cells, &out);
  }
  return out;
}

std::string BudgetTable(const std::map<std::string, Fit>& fits, const Load& load,
                        const WorkerBudget& budget) {
  std::string out;
  AddHead({"of one worker, for control", "budget", "worked out", "share"}, &out);
  const auto add = [&](const std::string& name, double most, double used) {
    AddRow({name, Short(most), Short(used), Percent(used / most)}, &out);
  };
  add("bytes a second, both ways, with heads", budget.bytes_per_s,
      fits.at("report bytes/s").At(load) / load.workers);
  add("cores (the hollow process for all, divided)", budget.cores,
      fits.at("hollow cores").At(load) / load.workers);
  add("MB (the hollow process for all, divided)", budget.memory_mb,
      fits.at("hollow MB").At(load) / load.workers);
  return out;
}

}  // namespace

std::string CapacityTables(const std::vector<Row>& rows, const Load& load,
                           const WorkerBudget& budget) {
  const std::map<std::string, Fit> fits = FitAll(rows);
  std::string out = LoadTable(load);
  out += "\nWhat each role uses, and what each part of the load adds to it:\n\n";
  out += UseTable(fits, load);
  out += "\nA worker's budget:\n\n" + BudgetTable(fits, load, budget);
  out += "\nSlopes with their standard errors, from " + std::to_string(rows.size()) + " runs:\n\n";
  out += SlopeTable(fits);
  out += "\nMeasured above the fit at each axis' largest size (far from 0%: not in step):\n\n";
  return out + BendTable(fits);
}

std::string WithTables(const std::string& page, const std::string& tables) {
  const size_t begin = page.find(kBegin), end = page.find(kEnd);
  if (begin == std::string::npos || end == std::string::npos || end < begin) {
    throw config::Error(
        "the page: expected the begin and end markers of `badgershore-scale capacity`");
  }
  return page.substr(0, begin + kBegin.size()) + tables + page.substr(end);
}

}  // namespace badgershore::scale
