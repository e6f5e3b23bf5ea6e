#ifndef CHESTNUTHITCH_H
#define CHESTNUTHITCH_H

/* The library's public header: what the commands in cli/ are built on. */

#include "base/base.h"
#include "crash/crash.h"
#include "node/node.h"
#include "platform/platform.h"

#define CHESTNUTHITCH_VERSION "0.1.0"

#endif
