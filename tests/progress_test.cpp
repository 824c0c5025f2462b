// Tests the encoding of the finished tasks in durable records.
#include <gtest/gtest.h>

#include "core/model/jobs.h"

namespace badgershore {
namespace {

TEST(Progress, IsDecodedAsItWasEncoded) {
  Job job;
  job.spec.tasks = 37;
  job.tasks.resize(37);
  const std::vector<int> done = {0, 3, 15, 16, 17, 31, 32, 36};
  for (int t : done) job.tasks[static_cast<size_t>(t)].stage = TaskStage::kDone;
  std::vector<int> decoded;
  for (int chunk = 0; chunk < 3; ++chunk) {
    DecodeProgress(EncodeProgress(job, chunk, 16), chunk, 16, 37,
                   [&](int t) { decoded.push_back(t); });
  }
  EXPECT_EQ(decoded, done);
  std::string id;
  int chunk = 0;
  ASSERT_TRUE(ParseProgressItem(ProgressItem("job-9", 2), &id, &chunk));
  EXPECT_EQ(id, "job-9");
  EXPECT_EQ(chunk, 2);
}

}  // namespace
}  // namespace badgershore
