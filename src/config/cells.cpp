#include <set>

#include "config/config.h"
#include "config/yaml.h"

namespace badgershore::config {

CellsConfig LoadCells(const std::string& file, const std::string& peer_address) {
  return ParseCells(ReadFile(file), file, peer_address);
}

CellsConfig ParseCells(const std::string& text, const std::string& file,
                       const std::string& peer_address) {
  YamlMap top = YamlMap::Parse(text, file);
  CellsConfig plan;
  std::set<std::string> names, addresses;
  int initial_members = 0;
  top.Each("cells", [&](YamlMap m) {
    CellConfig cell;
    cell.name = m.Text("name");
    if (!names.insert(cell.name).second) m.Fail("name", "a unique cell name");
    cell.initial_member = m.Flag("founding", true);
    cell.draining = m.Flag("drains", false);
    cell.successor = m.Text("heir", "");
    cell.addresses = m.Texts("backs");
    if (cell.addresses.empty() && cell.successor.empty())
      m.Fail("backs", "the addresses of its controllers");
    for (const std::string& addr : cell.addresses) {
      if (addr.find(':') == std::string::npos) m.Fail("backs", "addresses as HOST:PORT");
      if (!addresses.insert(addr).second) m.Fail("backs", "addresses that no other cell uses");
      if (addr == peer_address) plan.self = cell.name;
    }
    initial_members += cell.initial_member;
    m.RejectUnknownKeys();
    plan.cells.push_back(std::move(cell));
  });
  if (plan.cells.empty()) top.Fail("cells", "at least one cell");
  if (plan.cells.size() > 16) top.Fail("cells", "at most 16 cells");
  if (initial_members == 0) top.Fail("cells", "at least one founding cell");
  if (plan.self.empty()) top.Fail("cells", "a cell with this controller's address " + peer_address);
  for (const CellConfig& c : plan.cells) {
    if (c.successor.empty()) continue;
    if (c.name == plan.self) top.Fail("cells", "no heir for a cell that still has controllers");
    bool valid_heir = false;
    for (const CellConfig& other : plan.cells)
      valid_heir |= other.name == c.successor && other.successor.empty();
    if (!valid_heir) top.Fail("cells", "the heir of " + c.name + " to be a cell without an heir");
  }
  top.RejectUnknownKeys();
  return plan;
}

}  // namespace badgershore::config
