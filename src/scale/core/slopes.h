// Slopes: what a unit of load costs each role, fitted to the measurements of many scale runs by
// ordinary least squares.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "scale/core/plan.h"
#include "scale/core/report.h"

namespace badgershore::scale {

// The load of one run, or of a site that is planned.
struct Load {
  double workers = 0;
  double starts_per_s = 0;
  double running_tasks = 0;
  double jobs_per_s = 0;
  double teams = 0;
  double gang_starts_per_s = 0;  // tasks of urgent gangs
};
inline constexpr size_t kLoadTerms = 6;
std::vector<double> TermsOf(const Load& load);  // in the order of TermNames
const std::vector<std::string>& TermNames();    // with units
Load LoadOf(const Plan& plan);                  // at the plan's peak

// What is fitted, by name and unit: `leader cores`, `leader MB`, ...
using Measures = std::map<std::string, double>;
Measures MeasuresOf(const Report& report);  // of its phase `peak`

// One run of a sweep.
struct Row {
  std::string axis;
  double size = 0;
  int repeat = 0;
  Load load;
  Measures measures;
};
std::string ToJsonLine(const Row& row);
// A config::Error names the file and the line.
std::vector<Row> ParseRows(const std::string& text, const std::string& file);

struct Fit {
  double base = 0;             // at no load at all
  std::vector<double> slopes;  // by term
  std::vector<double> errors;  // standard error of each slope
  double spread = 0;           // standard deviation of what the fit leaves over
  double r_squared = 0;
  // The mean of what is left over at each axis' largest size, as a share of the measured mean: far
  // from 0 where the cost does not grow in step with the load.
  std::map<std::string, double> bend;

  double At(const Load& load) const;
};
// Fits every measure. Needs more rows than terms; a config::Error says so.
std::map<std::string, Fit> FitAll(const std::vector<Row>& rows);

}  // namespace badgershore::scale
