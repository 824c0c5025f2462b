// Tests the packing of small records into pages.
#include "core/model/paged_records.h"

#include <gtest/gtest.h>

namespace badgershore {
namespace {

TEST(PagedRecords, WritesManyItemsInOneMutation) {
  PagedRecords pages("fleet/", 100);
  const Micros t = Seconds(1);
  PagedRecords::Page* first = pages.PutItem("n-1", 40, true, t);
  EXPECT_EQ(pages.PutItem("n-2", 40, true, t), first);
  PagedRecords::Page* second = pages.PutItem("n-3", 40, true, t);  // no room for it in the first
  EXPECT_NE(second, first);
  EXPECT_NE(second->key, first->key);
  EXPECT_EQ(pages.NextToWrite(true, t, {}), first);
  pages.OnSent(first);
  EXPECT_EQ(pages.NextToWrite(true, t, {}), second);
  // A change while the page's write is in flight makes the page dirty again.
  pages.RemoveItem("n-1", t);
  pages.OnWritten(first, 7);
  EXPECT_EQ(pages.NextToWrite(false, t + Seconds(1), Seconds(2)), nullptr);
  EXPECT_EQ(pages.NextToWrite(false, t + Seconds(2), Seconds(2)), first);
  pages.OnSent(second);
  pages.OnWritten(second, 8);
  // The freed space is reused.
  EXPECT_EQ(pages.PutItem("n-4", 40, true, t), first);
}

// A write without a response may have been carried out, or may be later. The page is not written
// again until its version has been read: otherwise the precondition of each later write would fail.
TEST(PagedRecords, RefreshesTheVersionAfterAWriteWithoutResponse) {
  PagedRecords pages("prog/", 100);
  PagedRecords::Page* page = pages.PutItem("job-1/0", 40, false, Seconds(1));
  pages.OnSent(page);
  pages.OnFailed(page, true, true, Seconds(2));
  EXPECT_EQ(pages.NextToWrite(true, Seconds(9), {}), nullptr);
  page->version_unknown = false;
  EXPECT_EQ(pages.NextToWrite(true, Seconds(9), {}), page);
}

TEST(PagedRecords, DeletesNoPageThatWasNeverWritten) {
  PagedRecords pages("prog/", 100);
  PagedRecords::Page* page = pages.PutItem("job-1/0", 40, false, Seconds(1));
  pages.RemoveItem("job-1/0", Seconds(1));
  EXPECT_EQ(pages.NextToWrite(false, Seconds(9), Seconds(1)), nullptr);
  page->version = 3;
  EXPECT_EQ(pages.NextToWrite(false, Seconds(9), Seconds(1)), page);
}

}  // namespace
}  // namespace badgershore
