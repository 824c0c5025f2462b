#include "scale/core/slopes.h"

#include <Eigen/Dense>
#include <algorithm>
#include <cmath>
#include <sstream>

#include "config/config.h"
#include "wire/json.h"

namespace badgershore::scale {
namespace {

double GangStartsPerS(const Plan& plan) {
  double tasks = 0;
  for (const int size : plan.urgent.gang_sizes) tasks += size;
  if (plan.urgent.gang_sizes.empty()) return 0;
  const double mean = tasks / static_cast<double>(plan.urgent.gang_sizes.size());
  return mean * plan.urgent.per_minute / 60;
}

double ValueOr(const std::map<std::string, double>& values, const std::string& name) {
  const auto found = values.find(name);
  return found == values.end() ? 0 : found->second;
}

Fit FitOne(const std::vector<Row>& rows, const std::string& measure) {
  const auto count = static_cast<Eigen::Index>(rows.size());
  constexpr auto kColumns = static_cast<Eigen::Index>(kLoadTerms + 1);
  Eigen::MatrixXd terms(count, kColumns);
  Eigen::VectorXd measured(count);
  for (Eigen::Index i = 0; i < count; ++i) {
    const Row& row = rows[static_cast<size_t>(i)];
    terms(i, 0) = 1;
    const std::vector<double> load = TermsOf(row.load);
    for (Eigen::Index k = 1; k < kColumns; ++k) terms(i, k) = load[static_cast<size_t>(k - 1)];
    measured(i) = ValueOr(row.measures, measure);
  }
  // The columns differ by orders of magnitude, so they are scaled to unit length before solving.
  const Eigen::VectorXd lengths = terms.colwise().norm().cwiseMax(1e-12).transpose();
  const Eigen::MatrixXd scaled = terms * lengths.cwiseInverse().asDiagonal();
  const Eigen::MatrixXd normal = scaled.transpose() * scaled;
  const Eigen::MatrixXd inverse = normal.completeOrthogonalDecomposition().pseudoInverse();
  const Eigen::VectorXd solution =
      scaled.colPivHouseholderQr().solve(measured).cwiseQuotient(lengths);
  const Eigen::VectorXd residuals = measured - terms * solution;
  const double variance = residuals.squaredNorm() / static_cast<double>(count - kColumns);
  Fit fit;
  fit.intercept = solution(0);
  for (Eigen::Index k = 1; k < kColumns; ++k) {
    fit.slopes.push_back(solution(k));
    fit.standard_errors.push_back(std::sqrt(variance * inverse(k, k)) / lengths(k));
  }
  fit.residual_deviation = std::sqrt(variance);
  const double total = (measured.array() - measured.mean()).square().sum();
  fit.r_squared = total > 0 ? 1 - residuals.squaredNorm() / total : 1;
  std::map<std::string, double> largest;
  for (const Row& row : rows) largest[row.axis] = std::max(largest[row.axis], row.size);
  for (const auto& [axis, size] : largest) {
    double residual_sum = 0, measured_sum = 0;
    for (Eigen::Index i = 0; i < count; ++i) {
      const Row& row = rows[static_cast<size_t>(i)];
      if (row.axis != axis || row.size != size) continue;
      residual_sum += residuals(i);
      measured_sum += measured(i);
    }
    fit.nonlinearity[axis] = measured_sum != 0 ? residual_sum / measured_sum : 0;
  }
  return fit;
}

}  // namespace

const std::vector<std::string>& TermNames() {
  static const std::vector<std::string> names = {"worker", "start/s", "running task",
                                                 "job/s",  "team",    "gang task start/s"};
  return names;
}

std::vector<double> TermsOf(const Load& load) {
  return {load.workers,    load.starts_per_s, load.running_tasks,
          load.jobs_per_s, load.teams,        load.gang_starts_per_s};
}

Load LoadOf(const Plan& plan) {
  return {static_cast<double>(plan.workers),
          plan.starts_per_s,
          plan.running_tasks(),
          plan.starts_per_s / plan.tasks_per_job,
          static_cast<double>(plan.teams),
          GangStartsPerS(plan)};
}

Measures MeasuresOf(const Report& report) {
  Measures out;
  const PhaseUsage* peak = report.Phase("peak");
  if (!peak) return out;
  for (const char* role : {"leader", "standby", "state", "hollow"}) {
    out[std::string(role) + " cores"] = ValueOr(peak->cores, role);
    out[std::string(role) + " MB"] = ValueOr(peak->resident_mb, role);
  }
  out["reports/s"] = peak->reports_per_s;
  out["report bytes/s"] = peak->worker_bytes_per_s * report.workers;
  out["state changes/s"] = peak->state_changes_per_s;
  out["state requests/s"] = ValueOr(peak->leader_per_s, "badgershore_state_requests_total");
  out["state bytes/s"] = ValueOr(peak->leader_per_s, "badgershore_state_sent_bytes_total") +
                         ValueOr(peak->leader_per_s, "badgershore_state_received_bytes_total");
  out["longest turn ms"] = peak->longest_turn_ms;
  return out;
}

std::string ToJsonLine(const Row& row) {
  wire::Writer w;
  w.Begin().Put("axis", row.axis).Put("size", row.size).Put("repeat", row.repeat);
  w.Key("load").BeginList();
  for (const double term : TermsOf(row.load)) w.Real(term);
  w.EndList().Key("measures").Begin();
  for (const auto& [name, value] : row.measures) w.Put(name.c_str(), value);
  return w.End().End().Done() + "\n";
}

std::vector<Row> ParseRows(const std::string& text, const std::string& file) {
  std::vector<Row> rows;
  std::istringstream in(text);
  int line_number = 0;
  for (std::string line; std::getline(in, line);) {
    ++line_number;
    rapidjson::Document doc;
    const bool parsed = wire::ParseObject(line, &doc);
    const wire::Value* load = parsed ? wire::Find(doc, "load") : nullptr;
    const wire::Value* measures = parsed ? wire::Find(doc, "measures") : nullptr;
    if (!load || !load->IsArray() || load->Size() != kLoadTerms || !measures ||
        !measures->IsObject()) {
      throw config::Error(file + ": line " + std::to_string(line_number) +
                          ": expected a row written by `badgershore-scale sweep`");
    }
    Row row;
    row.axis = wire::Text(doc, "axis");
    row.size = wire::Number(doc, "size");
    row.repeat = static_cast<int>(wire::Number(doc, "repeat"));
    double* const terms[kLoadTerms] = {&row.load.workers,       &row.load.starts_per_s,
                                       &row.load.running_tasks, &row.load.jobs_per_s,
                                       &row.load.teams,         &row.load.gang_starts_per_s};
    for (rapidjson::SizeType k = 0; k < kLoadTerms; ++k) {
      if ((*load)[k].IsNumber()) *terms[k] = (*load)[k].GetDouble();
    }
    for (const auto& member : measures->GetObject()) {
      if (member.value.IsNumber()) row.measures[member.name.GetString()] = member.value.GetDouble();
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

double Fit::Estimate(const Load& load) const {
  double sum = intercept;
  const std::vector<double> terms = TermsOf(load);
  for (size_t k = 0; k < slopes.size(); ++k) sum += slopes[k] * terms[k];
  return sum;
}

std::map<std::string, Fit> FitAll(const std::vector<Row>& rows) {
  if (rows.size() <= kLoadTerms + 1) {
    throw config::Error("slopes: expected more than " + std::to_string(kLoadTerms + 1) +
                        " runs, found " + std::to_string(rows.size()));
  }
  std::map<std::string, Fit> out;
  for (const auto& [measure, value] : rows.front().measures) out[measure] = FitOne(rows, measure);
  return out;
}

}  // namespace badgershore::scale
