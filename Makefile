# Targets: all, check, check-asan, check-processes, bench, bench-transport,
# soak, fleet-soak, lint, format, install, clean. BUILD is the build directory; set it to
# keep several builds.

CC = cc
BUILD = build
PREFIX = /usr/local
DESTDIR =

WARN = -Wall -Wextra -Werror -Wdeclaration-after-statement \
	-Wno-unused-parameter -Wstrict-prototypes -Wmissing-prototypes \
	-Wpointer-arith -Wvla
CFLAGS = -O2 -g
SAN =
CPPFLAGS = -D_GNU_SOURCE -Iinclude -Isrc -I.
ALL_CFLAGS = -std=gnu11 $(WARN) $(CFLAGS) $(SAN) -MMD -MP
LIBS = -lev -lmsgpackc -lmicrohttpd -lcurl -lpopt -linih -lsodium \
	-ljansson -lxxhash -lm

LIB_AREAS = util policy protocol coordination state drive fleet core
LIB_SRC = $(sort $(wildcard $(LIB_AREAS:%=src/%/*.c)))
BIN_SRC = $(sort $(wildcard src/transport/*.c src/cmd/*.c platform/*.c))
TEST_SRC = $(sort $(wildcard test/unit/*.c))
SIM_SRC = $(sort $(wildcard test/sim/*.c))
SOAK_SRC = $(sort $(wildcard test/soak/*.c))
FLEET_SOAK_SRC = $(sort $(wildcard test/fleet_soak/*.c))
STANDIN_SRC = $(sort $(wildcard test/standin/*.c))

obj = $(patsubst %.c,$(BUILD)/%.o,$(1))
LIB_OBJ = $(call obj,$(LIB_SRC))
BIN_OBJ = $(call obj,$(BIN_SRC))
BIN_MAIN = $(BUILD)/src/cmd/main.o
TEST_OBJ = $(call obj,$(TEST_SRC))
SIM_OBJ = $(call obj,$(SIM_SRC))
SOAK_OBJ = $(call obj,$(SOAK_SRC))
FLEET_SOAK_OBJ = $(call obj,$(FLEET_SOAK_SRC))
STANDIN_OBJ = $(call obj,$(STANDIN_SRC))
# The stand-in for the platform serves HTTP with the program's own code.
STANDIN_PARTS = $(call obj,src/transport/http_server.c \
	src/transport/http_conn.c src/transport/address.c \
	src/transport/transport_error.c)

LIBA = $(BUILD)/libsycamoreshore.a
BIN = $(BUILD)/sycamoreshore
UNIT = $(BUILD)/unit
STANDIN = $(BUILD)/standin
SOAK = $(BUILD)/soak
FLEET_SOAK = $(BUILD)/fleet_soak
COORD_BENCH = $(BUILD)/coord_bench
COORD_BENCH_OBJ = $(call obj,test/bench/coord_bench.c)
TRANSPORT_BENCH = $(BUILD)/bench-transport
DISPATCH_RATE = $(BUILD)/dispatch_rate
DISPATCH_POLICY = $(BUILD)/dispatch_policy
LOG_COST = $(BUILD)/log_cost
FLEET_LOAD = $(BUILD)/fleet_load
FLEET_LOAD_OBJ = $(call obj,$(addprefix test/bench/fleet_,profile.c draw.c \
	simulate.c baseline.c report.c))
EXAMPLE = $(BUILD)/embed_claims
SEEDS = 1..50
MS = 120000
S = 20
INSTANCES = 6

all: $(BIN) $(LIBA) $(STANDIN)

$(LIBA): $(LIB_OBJ)
	rm -f $@
	$(AR) rcs $@ $^

$(BIN): $(BIN_OBJ) $(LIBA)
	$(CC) $(CFLAGS) $(SAN) $(LDFLAGS) -o $@ $^ $(LIBS)

$(UNIT): $(TEST_OBJ) $(SIM_OBJ) $(FLEET_LOAD_OBJ) $(filter-out $(BIN_MAIN),$(BIN_OBJ)) $(LIBA)
	$(CC) $(CFLAGS) $(SAN) $(LDFLAGS) -o $@ $^ $(LIBS) -lcunit

$(STANDIN): $(STANDIN_OBJ) $(STANDIN_PARTS) $(LIBA)
	$(CC) $(CFLAGS) $(SAN) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(ALL_CFLAGS) -c -o $@ $<

$(SOAK): $(SOAK_OBJ) $(SIM_OBJ) $(LIBA)
	$(CC) $(CFLAGS) $(SAN) $(LDFLAGS) -o $@ $^ $(LIBS)

$(FLEET_SOAK): $(FLEET_SOAK_OBJ) $(filter-out $(BIN_MAIN),$(BIN_OBJ)) $(LIBA)
	$(CC) $(CFLAGS) $(SAN) $(LDFLAGS) -o $@ $^ $(LIBS)

$(TRANSPORT_BENCH): $(call obj,test/bench/transport.c) \
		$(filter-out $(BIN_MAIN),$(BIN_OBJ)) $(LIBA)
	$(CC) $(CFLAGS) $(SAN) $(LDFLAGS) -o $@ $^ $(LIBS)

$(COORD_BENCH): $(COORD_BENCH_OBJ) $(SIM_OBJ) $(LIBA)
	$(CC) $(CFLAGS) $(SAN) $(LDFLAGS) -o $@ $^ $(LIBS)

$(TEST_OBJ) $(SIM_OBJ) $(SOAK_OBJ) $(COORD_BENCH_OBJ): CPPFLAGS += -Itest

# Links against the library only, as an embedding program does.
$(EXAMPLE): examples/embed_claims.c $(LIBA)
	$(CC) -Iinclude -std=gnu11 $(WARN) $(CFLAGS) $(SAN) $(LDFLAGS) -o $@ \
		$^ -lmsgpackc -lsodium -ljansson -lxxhash -linih -lm

check: $(UNIT) $(EXAMPLE)
	$(EXAMPLE)
	$(UNIT)

check-asan:
	$(MAKE) BUILD=build/asan CFLAGS='-O1 -g -fno-omit-frame-pointer' \
		SAN='-fsanitize=address,undefined -fno-sanitize-recover=all' \
		check

check-processes: all
	test/process/run.sh $(BUILD)

$(DISPATCH_RATE): $(call obj,test/bench/dispatch_rate.c) $(LIBA)
	$(CC) $(CFLAGS) $(SAN) $(LDFLAGS) -o $@ $^ $(LIBS)

$(DISPATCH_POLICY): $(call obj,test/bench/dispatch_policy.c \
		test/bench/dispatch_simple.c test/unit/dispatch_cluster.c) \
		$(LIBA)
	$(CC) $(CFLAGS) $(SAN) $(LDFLAGS) -o $@ $^ $(LIBS)

$(FLEET_LOAD): $(call obj,test/bench/fleet_load.c) $(FLEET_LOAD_OBJ) \
		$(filter-out $(BIN_MAIN),$(BIN_OBJ)) $(LIBA)
	$(CC) $(CFLAGS) $(SAN) $(LDFLAGS) -o $@ $^ $(LIBS)

$(LOG_COST): $(call obj,test/bench/log_cost.c) $(LIBA)
	$(CC) $(CFLAGS) $(SAN) $(LDFLAGS) -o $@ $^ $(LIBS)

bench: $(LOG_COST) $(FLEET_LOAD) $(COORD_BENCH) $(TRANSPORT_BENCH) $(DISPATCH_RATE) $(DISPATCH_POLICY)

# Runs randomised coordination tests of MS virtual milliseconds per seed.
soak: $(SOAK)
	$(SOAK) $(subst .., ,$(SEEDS)) $(MS)

# Runs real processes under random faults from the outside, S seconds per seed.
fleet-soak: all $(FLEET_SOAK)
	$(FLEET_SOAK) $(BUILD) $(subst .., ,$(SEEDS)) $(S) $(INSTANCES)

SOURCES = $(sort $(wildcard src/*/*.[ch] platform/*.[ch] include/sycamoreshore/*.h \
	test/*/*.[ch] examples/*.c))

format:
	clang-format -i $(SOURCES)

bench-transport: $(TRANSPORT_BENCH)
	test/bench/transport.sh $(BUILD)

lint:
	clang-format --dry-run -Werror $(SOURCES)
	test/lint.sh
	printf '%s\n' $(LIB_SRC) $(BIN_SRC) | xargs -P 12 -n 1 sh -c \
		'clang-tidy --quiet "$$@" -- $(CPPFLAGS) -std=gnu11' tidy

install: $(BIN) $(LIBA)
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib \
		$(DESTDIR)$(PREFIX)/include/sycamoreshore
	install -m 755 $(BIN) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIBA) $(DESTDIR)$(PREFIX)/lib
	install -m 644 include/sycamoreshore/*.h \
		$(DESTDIR)$(PREFIX)/include/sycamoreshore
	install -d $(DESTDIR)$(PREFIX)/share/man/man1 \
		$(DESTDIR)$(PREFIX)/share/man/man5
	install -m 644 man/sycamoreshore.1 $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 644 man/sycamoreshore.conf.5 \
		$(DESTDIR)$(PREFIX)/share/man/man5

clean:
	rm -rf $(BUILD)

-include $(LIB_OBJ:.o=.d) $(BIN_OBJ:.o=.d) $(TEST_OBJ:.o=.d) \
	$(STANDIN_OBJ:.o=.d) $(SIM_OBJ:.o=.d) $(SOAK_OBJ:.o=.d) \
	$(FLEET_LOAD_OBJ:.o=.d) $(FLEET_SOAK_OBJ:.o=.d) \
	$(BUILD)/test/bench/fleet_load.d

.PHONY: all check check-asan check-processes bench soak fleet-soak lint format install clean
