/// \file
/// \brief Includes every public header of the library.
#pragma once

#include "yuccaspan/admission.hpp"
#include "yuccaspan/balancer.hpp"
#include "yuccaspan/cell_record.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/enum_names.hpp"
#include "yuccaspan/error.hpp"
#include "yuccaspan/fwd.hpp"
#include "yuccaspan/ids.hpp"
#include "yuccaspan/key_range.hpp"
#include "yuccaspan/outcome.hpp"
#include "yuccaspan/peer_message.hpp"
#include "yuccaspan/placement.hpp"
#include "yuccaspan/result.hpp"
#include "yuccaspan/route_table.hpp"
#include "yuccaspan/settings.hpp"
#include "yuccaspan/store.hpp"
#include "yuccaspan/target_order.hpp"
