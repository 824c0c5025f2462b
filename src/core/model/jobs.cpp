#include "core/model/jobs.h"

namespace badgershore {

int MaxTasksInZone(const JobSpec& spec) { return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks; }

bool ZoneAllows(const Job& job, const std::string& zone) {
  if (job.spec.same_zone) {
    for (const auto& [other_zone, tasks] : job.zone_count) {
      if (tasks > 0 && other_zone != zone) return false;
    }
  }
  const auto it = job.zone_count.find(zone);
  return !job.spec.spread || it == job.zone_count.end() || it->second < MaxTasksInZone(job.spec);
}

std::string EncodeProgress(const Job& job, int chunk, int chunk_tasks) {
  static const char kHex[] = "0123456789abcdef";
  const int from = chunk * chunk_tasks;
  const int to = std::min(job.spec.tasks, from + chunk_tasks);
  std::string out;
  out.reserve(static_cast<size_t>(chunk_tasks / 4 + 1));
  for (int i = from; i < to; i += 4) {
    int digit = 0;
    for (int b = 0; b < 4 && i + b < to; ++b) {
      if (job.tasks[static_cast<size_t>(i + b)].stage == TaskStage::kDone) digit |= 1 << b;
    }
    out.push_back(kHex[digit]);
  }
  return out;
}

void DecodeProgress(const std::string& bits, int chunk, int chunk_tasks, int tasks,
                    const std::function<void(int)>& each) {
  for (size_t i = 0; i < bits.size(); ++i) {
    const char c = bits[i];
    const int digit = c >= 'a' ? c - 'a' + 10 : c - '0';
    for (int b = 0; b < 4; ++b) {
      const int task = chunk * chunk_tasks + static_cast<int>(i) * 4 + b;
      if ((digit >> b & 1) && task < tasks) each(task);
    }
  }
}

std::string ProgressItem(const std::string& job, int chunk) {
  return job + "/" + std::to_string(chunk);
}

bool ParseProgressItem(const std::string& item, std::string* job, int* chunk) {
  const size_t slash = item.rfind('/');
  if (slash == std::string::npos || slash == 0) return false;
  *job = item.substr(0, slash);
  *chunk = std::atoi(item.c_str() + slash + 1);
  return *chunk >= 0;
}

}  // namespace badgershore
