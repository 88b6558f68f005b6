#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

#include "base/result.h"

namespace guavahaven {

namespace {

// The table rows that docs/ERRORS.md must contain, one for each code.
std::set<std::string> known_rows()
{
    constexpr int number_end = 1000;
    std::set<std::string> rows;
    for (int n = 1; n < number_end; ++n) {
        const code c = static_cast<code>(n);
        if (name(c) != "unknown")
            rows.insert("| E" + std::to_string(n) + " | " + std::string(name(c)) + " | " +
                        std::string(remedy(c)) + " |");
    }
    return rows;
}

std::set<std::string> documented_rows()
{
    std::set<std::string> rows;
    std::ifstream in(SOURCE_DIR "/docs/ERRORS.md");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("| E"))
            rows.insert(line);
    return rows;
}

} // namespace

TEST(result_code, prints_number_name_and_detail)
{
    EXPECT_EQ(to_string(error{code::no_route, "GET /x"}), "E400 no_route: GET /x");
}

TEST(result_code, table_in_the_docs_lists_every_code)
{
    const std::set<std::string> known = known_rows();
    const std::set<std::string> documented = documented_rows();
    for (const std::string& row : known)
        EXPECT_TRUE(documented.contains(row)) << "missing: " << row;
    for (const std::string& row : documented)
        EXPECT_TRUE(known.contains(row)) << "outdated: " << row;
}

} // namespace guavahaven
