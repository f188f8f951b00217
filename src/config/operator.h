/// \file
/// The former name of config/operator_config.h.
#pragma once

#include "config/operator_config.h"
