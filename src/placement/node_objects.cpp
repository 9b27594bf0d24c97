// Finds and creates directories and records, and exchanges them with peers.
#include "placement/candidate_choice.hpp"
#include "placement/node.hpp"

#include <algorithm>
#include <utility>

namespace yuccaspan::impl {

namespace {
/// Interval between reads of an object that is not known yet.
constexpr Duration readInterval = std::chrono::milliseconds(500);
/// Interval between requests to peers for state that the store did not return.
constexpr Duration stateRequestInterval = std::chrono::milliseconds(500);
/// Additional delay per rank before an instance creates an absent object.
constexpr Duration creationDelay = std::chrono::milliseconds(500);
} // namespace

void Node::deliver(const PeerEnvelope &envelope, TimePoint now)
{
    if (const auto *offer = std::get_if<StateOffer>(&envelope.message)) {
        observeObject(offer->path, offer->version, offer->value, now);
        return;
    }
    if (std::holds_alternative<StateRequest>(envelope.message)) {
        offerState(envelope.from);
        return;
    }
    const auto toCell = [&](const auto &message) {
        if constexpr (requires { message.cell; }) {
            if (!message.cell.service.empty())
                cellState(message.cell, now)
                    .cell->onMessage(m_context, envelope.from, envelope.message, now);
        }
    };
    std::visit(toCell, envelope.message);
}

void Node::offerState(const InstanceId &to)
{
    for (const auto &[name, state] : m_services) {
        if (state.directory)
            m_context.send(
                to,
                StateOffer{directoryPath(name), state.version, encodeDirectory(*state.directory)});
    }
    for (const auto &[id, state] : m_cells) {
        if (!state.cell->hasRecord())
            continue;
        const Result<std::string> text = encodeCellRecord(state.cell->record());
        if (text)
            m_context.send(to, StateOffer{id.path(), state.cell->version(), *text});
    }
}

void Node::requestState(TimePoint now)
{
    const bool knowsAll = m_context.settings != nullptr
        && std::ranges::all_of(m_services,
                               [](const auto &item) { return item.second.directory.has_value(); })
        && std::ranges::all_of(m_cells,
                               [](const auto &item) { return item.second.cell->hasRecord(); });
    if (knowsAll || now < m_nextStateRequestAt)
        return;
    m_nextStateRequestAt = now + stateRequestInterval;
    std::vector<InstanceId> peers;
    for (const Member &member : m_context.members) {
        if (member.alive && member.id != m_context.self.id)
            peers.push_back(member.id);
    }
    if (peers.empty())
        return;
    const ObjectVersion version =
        m_context.settings == nullptr ? ObjectVersion{} : m_context.settings->version;
    m_context.send(peers[m_nextPeerIndex++ % peers.size()], StateRequest{version});
}

void Node::observeObject(const std::string &path, ObjectVersion version, const std::string &value,
                         TimePoint now)
{
    if (const auto service = directoryOfPath(path)) {
        observeDirectory(*service, version, value, now);
        return;
    }
    const auto id = cellOfPath(path);
    if (!id)
        return;
    if (version.value == 0) {
        if (Cell *cell = findCell(*id); cell != nullptr && cell->hasRecord())
            m_context.log("placement",
                          "Record " + path + " was deleted from the store; keeping it in force.");
        return;
    }
    const Result<CellRecord> record = decodeCellRecord(value);
    if (!record) {
        m_context.log("placement",
                      "Ignores invalid record " + path + ": " + record.error().text + ".");
        return;
    }
    cellState(*id, now).cell->onObserved(m_context, *record, version, now);
}

void Node::observeDirectory(const ServiceName &service, ObjectVersion version,
                            const std::string &value, TimePoint now)
{
    ServiceState &state = m_services[service];
    if (version <= state.version)
        return;
    Result<Directory> directory = decodeDirectory(value);
    if (!directory || directory->service != service) {
        m_context.log("placement", "Ignores the invalid directory of " + service.text() + ".");
        return;
    }
    for (const DirectoryEntry &entry : directory->cells)
        cellState(entry.cell, now).range = entry.range;
    state.version = version;
    state.directory = std::move(*directory);
}

void Node::findOrCreateDirectory(const ServiceSettings &service, ServiceState &state, TimePoint now)
{
    if (state.directory || state.writeId != 0)
        return;
    const std::string path = directoryPath(service.name);
    if (now >= state.nextReadAt) {
        state.nextReadAt = now + readInterval;
        read(path);
    }
    if (!mayCreate(state.absentSince, path, {}, now))
        return;
    const Directory directory = planDirectory(service, m_context.settings->zones);
    if (directory.cells.empty())
        return;
    state.absentSince.reset();
    state.writeId = m_context.nextId();
    m_context.log("placement", "Creates the directory of " + service.name.text() + ".");
    m_context.actions.push_back(
        WriteAction{state.writeId, path, ObjectVersion{0}, encodeDirectory(directory)});
}

void Node::findOrCreateRecord(CellState &state, TimePoint now)
{
    Cell &cell = *state.cell;
    if (cell.hasRecord() || cell.isClaiming())
        return;
    const std::string path = cell.id().path();
    if (now >= state.nextReadAt) {
        state.nextReadAt = now + readInterval;
        read(path);
    }
    const auto service = m_services.find(cell.id().service);
    const bool isInDirectory = service != m_services.end() && service->second.directory
        && std::ranges::find(service->second.directory->cells, cell.id(), &DirectoryEntry::cell)
            != service->second.directory->cells.end();
    if (!isInDirectory || m_context.findService(cell.id().service) == nullptr
        || !mayCreate(state.absentSince, path, cell.id().zone, now))
        return;
    state.absentSince.reset();
    cell.create(m_context, state.range, now);
}

bool Node::mayCreate(std::optional<TimePoint> &absentSince, const std::string &path,
                     const ZoneId &preferredZone, TimePoint now) const
{
    const Member *self = m_context.findMember(m_context.self.id);
    if (!absentSince || self == nullptr || !self->knownToStore || self->leaving)
        return false;
    const auto rank = static_cast<int>(creationRank(m_context, path, preferredZone));
    return now - *absentSince >= rank * creationDelay;
}

void Node::read(const std::string &path)
{
    m_context.actions.push_back(ReadAction{m_context.nextId(), path});
}

} // namespace yuccaspan::impl
