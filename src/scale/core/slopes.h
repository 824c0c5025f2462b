// Slopes: the resource use that each unit of load adds, fitted to the measurements of many scale
// runs by ordinary least squares.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "scale/core/plan.h"
#include "scale/core/report.h"

namespace badgershore::scale {

// The load of a scale run or of a planned site.
struct Load {
  double workers = 0;
  double starts_per_s = 0;
  double running_tasks = 0;
  double jobs_per_s = 0;
  double teams = 0;
  double gang_starts_per_s = 0;  // task starts of urgent gangs
};
inline constexpr size_t kLoadTerms = 6;
std::vector<double> TermsOf(const Load& load);  // in the order of TermNames
const std::vector<std::string>& TermNames();    // with units
Load LoadOf(const Plan& plan);                  // at the plan's peak

// Measured values by name and unit: `leader cores`, `leader MB`, ...
using Measures = std::map<std::string, double>;
Measures MeasuresOf(const Report& report);  // of the phase `peak`

// One run of a sweep.
struct Row {
  std::string axis;
  double size = 0;
  int repeat = 0;
  Load load;
  Measures measures;
};
std::string ToJsonLine(const Row& row);
// Throws config::Error, which names the file and the line.
std::vector<Row> ParseRows(const std::string& text, const std::string& file);

struct Fit {
  double intercept = 0;                 // the value without load
  std::vector<double> slopes;           // one per load term
  std::vector<double> standard_errors;  // standard error of each slope
  double residual_deviation = 0;        // standard deviation of the residuals
  double r_squared = 0;
  // The mean residual at the largest size of each axis, as a share of the measured mean. A value
  // far from 0 means that the measure is not linear in the load.
  std::map<std::string, double> nonlinearity;

  double Estimate(const Load& load) const;
};
// Fits every measure. Throws config::Error if there are too few rows for the number of terms.
std::map<std::string, Fit> FitAll(const std::vector<Row>& rows);

}  // namespace badgershore::scale
