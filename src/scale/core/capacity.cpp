#include "scale/core/capacity.h"

#include <cmath>
#include <cstdio>

#include "config/config.h"

namespace badgershore::scale {
namespace {

const std::string kBeginMarker = "<!-- badgershore-scale capacity: begin -->\n";
const std::string kEndMarker = "<!-- badgershore-scale capacity: end -->\n";

// Formats a value with about three significant digits.
std::string FormatNumber(double value) {
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

std::string FormatPercent(double share) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f%%", share * 100);
  return text;
}

void AddRow(const std::vector<std::string>& cells, std::string* out) {
  *out += "|";
  for (const std::string& cell : cells) *out += " " + cell + " |";
  *out += "\n";
}

void AddHeader(const std::vector<std::string>& cells, std::string* out) {
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
  AddHeader({"load", "at that size"}, &out);
  const std::vector<double> terms = TermsOf(load);
  for (size_t k = 0; k < terms.size(); ++k) AddRow({TermNames()[k], FormatNumber(terms[k])}, &out);
  return out;
}

// For each measure the total and the part that each load term adds.
std::string UsageTable(const std::map<std::string, Fit>& fits, const Load& load) {
  std::string out;
  std::vector<std::string> header = WithTerms("measure", "at that size");
  header.insert(header.begin() + 2, "at no load");
  AddHeader(header, &out);
  const std::vector<double> terms = TermsOf(load);
  for (const auto& [measure, fit] : fits) {
    std::vector<std::string> cells = {measure, "**" + FormatNumber(fit.Estimate(load)) + "**",
                                      FormatNumber(fit.intercept)};
    for (size_t k = 0; k < terms.size(); ++k)
      cells.push_back(FormatNumber(fit.slopes[k] * terms[k]));
    AddRow(cells, &out);
  }
  return out;
}

std::string SlopeTable(const std::map<std::string, Fit>& fits) {
  std::string out;
  std::vector<std::string> header = WithTerms("measure", "R²");
  header.emplace_back("left over");
  AddHeader(header, &out);
  for (const auto& [measure, fit] : fits) {
    std::vector<std::string> cells = {measure, FormatNumber(fit.r_squared)};
    for (size_t k = 0; k < fit.slopes.size(); ++k) {
      cells.push_back(FormatNumber(fit.slopes[k]) + " ± " + FormatNumber(fit.standard_errors[k]));
    }
    cells.push_back(FormatNumber(fit.residual_deviation));
    AddRow(cells, &out);
  }
  return out;
}

// By how much each measure exceeds the fit at the largest size of each axis.
std::string NonlinearityTable(const std::map<std::string, Fit>& fits) {
  std::string out;
  std::vector<std::string> header = {"measure"};
  for (const auto& [axis, nonlinearity] : fits.begin()->second.nonlinearity) header.push_back(axis);
  AddHeader(header, &out);
  for (const auto& [measure, fit] : fits) {
    std::vector<std::string> cells = {measure};
    for (const auto& [axis, nonlinearity] : fit.nonlinearity)
      cells.push_back(FormatPercent(nonlinearity));
    AddRow(cells, &out);
  }
  return out;
}

std::string BudgetTable(const std::map<std::string, Fit>& fits, const Load& load,
                        const WorkerBudget& budget) {
  std::string out;
  AddHeader({"of one worker, for control", "budget", "worked out", "share"}, &out);
  const auto add = [&](const std::string& name, double most, double used) {
    AddRow({name, FormatNumber(most), FormatNumber(used), FormatPercent(used / most)}, &out);
  };
  add("bytes a second, both ways, with heads", budget.bytes_per_s,
      fits.at("report bytes/s").Estimate(load) / load.workers);
  add("cores (the hollow process for all, divided)", budget.cores,
      fits.at("hollow cores").Estimate(load) / load.workers);
  add("MB (the hollow process for all, divided)", budget.memory_mb,
      fits.at("hollow MB").Estimate(load) / load.workers);
  return out;
}

}  // namespace

std::string CapacityTables(const std::vector<Row>& rows, const Load& load,
                           const WorkerBudget& budget) {
  const std::map<std::string, Fit> fits = FitAll(rows);
  std::string out = LoadTable(load);
  out += "\nWhat each role uses, and what each part of the load adds to it:\n\n";
  out += UsageTable(fits, load);
  out += "\nA worker's budget:\n\n" + BudgetTable(fits, load, budget);
  out += "\nSlopes with their standard errors, from " + std::to_string(rows.size()) + " runs:\n\n";
  out += SlopeTable(fits);
  out += "\nMeasured above the fit at each axis' largest size (far from 0%: not in step):\n\n";
  return out + NonlinearityTable(fits);
}

std::string ReplaceTables(const std::string& page, const std::string& tables) {
  const size_t begin = page.find(kBeginMarker), end = page.find(kEndMarker);
  if (begin == std::string::npos || end == std::string::npos || end < begin) {
    throw config::Error(
        "the page: expected the begin and end markers of `badgershore-scale capacity`");
  }
  return page.substr(0, begin + kBeginMarker.size()) + tables + page.substr(end);
}

}  // namespace badgershore::scale
