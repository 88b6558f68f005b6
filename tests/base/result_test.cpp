#include <gtest/gtest.h>

#include "base/result.h"

namespace guavahaven {

TEST(result_code, prints_number_name_and_detail)
{
    EXPECT_EQ(to_string(error{code::no_route, "GET /x"}), "E400 no_route: GET /x");
}

} // namespace guavahaven
