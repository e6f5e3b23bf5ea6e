# make            build/chestnuthitch
# make run        a demonstration of the whole system on this machine
# make check      all tests and checks
#
# Each test is one file: tests/unit/test_X.c, or tests/threaded/test_X.c for
# tests that also run under ThreadSanitizer.

PACKAGES = glib-2.0 json-glib-1.0 libmicrohttpd libcurl libprotobuf-c ck
CC = gcc
CLANG = clang
BUILD = build
DEPENDENCIES_CFLAGS := $(shell pkgconf --cflags $(PACKAGES) 2>/dev/null)
DEPENDENCIES_LIBS := $(shell pkgconf --libs $(PACKAGES) 2>/dev/null)
CPPFLAGS = -D_GNU_SOURCE -DG_LOG_DOMAIN='"chestnuthitch"' \
    -Ilibchestnuthitch -Iplatform -Itests $(DEPENDENCIES_CFLAGS)
WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
    -Wmissing-prototypes
CFLAGS = -std=gnu11 -g -O2 -pthread $(WARNINGS)
LDLIBS = $(DEPENDENCIES_LIBS) -lck -lm -pthread

LIBRARY_SOURCES = $(wildcard libchestnuthitch/*/*.c platform/*.c)
GENERATED = libchestnuthitch/wire/chestnuthitch.pb-c.c
CLI_SOURCES = $(wildcard cli/*.c)
STANDIN_SOURCES = $(wildcard tests/standin/*.c)
HARNESS_SOURCES = $(wildcard tests/harness/*.c)
UNIT_SOURCES = $(wildcard tests/unit/test_*.c)
THREADED_SOURCES = $(wildcard tests/threaded/test_*.c)
FAILURE_SOURCES = $(wildcard tests/failure/test_*.c)
FUZZ_SOURCES = $(wildcard tests/fuzz/fuzz_*.c)
OWN_SOURCES = $(filter-out $(GENERATED),$(LIBRARY_SOURCES)) $(CLI_SOURCES) \
    $(STANDIN_SOURCES) $(HARNESS_SOURCES) $(UNIT_SOURCES) \
    $(THREADED_SOURCES) $(FAILURE_SOURCES) $(FUZZ_SOURCES) \
    $(wildcard tests/bench/*.c tests/demo/*.c)
OWN_HEADERS = $(filter-out %.pb-c.h,$(wildcard libchestnuthitch/*.h \
    libchestnuthitch/*/*.h platform/*.h cli/*.h tests/*/*.h))

.PHONY: all run check unit threaded failure fuzz spec replay format lint \
    bench clean install-packages tests

all: $(BUILD)/chestnuthitch

# ---- building: one set of rules for each kind (plain, or with sanitizers) ----

# $(1): kind, $(2): compiler, $(3): additional flags
define build_kind
$(BUILD)/$(1)/%.o: %.c
	@mkdir -p $$(dir $$@)
	@echo "  CC      $$@"
	@$(2) $(CPPFLAGS) $(CFLAGS) $(3) -MMD -MP -c -o $$@ $$<

$(BUILD)/$(1)/libchestnuthitch.a: $(LIBRARY_SOURCES:%.c=$(BUILD)/$(1)/%.o)
	@rm -f $$@
	@ar rcs $$@ $$^

$(BUILD)/$(1)/chestnuthitch: $(CLI_SOURCES:%.c=$(BUILD)/$(1)/%.o) \
    $(BUILD)/$(1)/libchestnuthitch.a
	@echo "  LD      $$@"
	@$(2) $(CFLAGS) $(3) -o $$@ $$^ $(LDLIBS)

$(BUILD)/$(1)/standin: $(STANDIN_SOURCES:%.c=$(BUILD)/$(1)/%.o) \
    $(BUILD)/$(1)/libchestnuthitch.a
	@echo "  LD      $$@"
	@$(2) $(CFLAGS) $(3) -o $$@ $$^ $(LDLIBS)

$(BUILD)/$(1)/tests/%: $(BUILD)/$(1)/tests/%.o \
    $(HARNESS_SOURCES:%.c=$(BUILD)/$(1)/%.o) \
    $(BUILD)/$(1)/libchestnuthitch.a
	@echo "  LD      $$@"
	@$(2) $(CFLAGS) $(3) -o $$@ $$^ $(LDLIBS)
endef

ADDRESS_FLAGS = -O1 -fsanitize=address,undefined -fno-sanitize-recover=all \
    -fno-omit-frame-pointer
THREAD_FLAGS = -O1 -fsanitize=thread
FUZZ_FLAGS = -O1 -fsanitize=fuzzer-no-link,address,undefined \
    -fno-sanitize-recover=all
$(eval $(call build_kind,plain,$(CC),))
$(eval $(call build_kind,address,$(CC),$(ADDRESS_FLAGS)))
$(eval $(call build_kind,thread,$(CLANG),$(THREAD_FLAGS)))
$(eval $(call build_kind,fuzz,$(CLANG),$(FUZZ_FLAGS)))

$(BUILD)/fuzz/bin/%: $(BUILD)/fuzz/tests/fuzz/%.o \
    $(BUILD)/fuzz/libchestnuthitch.a
	@mkdir -p $(dir $@)
	@echo "  LD      $@"
	@$(CLANG) $(CFLAGS) -fsanitize=fuzzer,address,undefined -o $@ $^ $(LDLIBS)

# `make BUILD=target target/chestnuthitch` builds the binary that the platform
# runs, with all build output under target/.
$(BUILD)/chestnuthitch: $(BUILD)/plain/chestnuthitch
	@cp -f $< $@

.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

# ---- running ----

install-packages:
	bash .ci/run install

run: install-packages
	$(MAKE) $(BUILD)/plain/chestnuthitch $(BUILD)/plain/standin \
	    $(BUILD)/plain/tests/demo/demo
	$(BUILD)/plain/tests/demo/demo $(BUILD)/plain

# ---- checks: `make check` builds in parallel, then runs the tests in sequence

UNIT = $(UNIT_SOURCES:%.c=$(BUILD)/address/%) \
    $(THREADED_SOURCES:%.c=$(BUILD)/address/%)
THREADED = $(THREADED_SOURCES:%.c=$(BUILD)/thread/%)
FUZZ = $(FUZZ_SOURCES:tests/fuzz/%.c=$(BUILD)/fuzz/bin/%)
FAILURE = $(FAILURE_SOURCES:%.c=$(BUILD)/plain/%)

check: install-packages
	bash tests/check.sh

tests: all $(UNIT) $(THREADED) $(FUZZ) $(FAILURE) $(BUILD)/plain/standin

unit: $(UNIT)
	bash tests/check.sh unit

threaded: $(THREADED)
	bash tests/check.sh threaded

failure: $(BUILD)/plain/chestnuthitch $(BUILD)/plain/standin $(FAILURE)
	bash tests/check.sh failure

fuzz: $(FUZZ)
	bash tests/check.sh fuzz

spec:
	bash tests/check.sh spec

replay: all
	bash tests/check.sh replay

format:
	@clang-format --dry-run --Werror $(OWN_SOURCES) $(OWN_HEADERS)

lint: $(OWN_SOURCES:%.c=$(BUILD)/lint/%.tidy)
	@echo "  CPPCHECK"
	@cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr -j 4 \
	    --enable=warning,portability,performance \
	    --library=gnu --library=gtk --suppress=missingIncludeSystem \
	    --suppressions-list=tests/cppcheck.txt \
	    -D__GNUC__ -D__linux__ -D__x86_64__ \
	    -DPROTOBUF_C_VERSION_NUMBER=1004001 \
	    -DPROTOBUF_C_MIN_COMPILER_VERSION=1000000 \
	    -Ilibchestnuthitch -Itests $(OWN_SOURCES)

$(BUILD)/lint/%.tidy: %.c .clang-tidy $(OWN_HEADERS)
	@mkdir -p $(dir $@)
	@echo "  TIDY    $<"
	@clang-tidy --quiet $< -- $(CPPFLAGS) -std=gnu11 >$@.out 2>/dev/null \
	    || { cat $@.out; exit 1; }
	@touch $@

bench: $(BUILD)/plain/chestnuthitch $(BUILD)/plain/standin \
    $(patsubst %.c,$(BUILD)/plain/%,$(wildcard tests/bench/bench_*.c))
	bash tests/check.sh bench

clean:
	rm -rf $(BUILD)
