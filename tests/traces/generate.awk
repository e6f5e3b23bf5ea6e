# Writes the trace called NAME: awk -v trace=NAME -f generate.awk
#
# Random numbers come from the minimal standard generator (Park and Miller,
# 1988) with a seed that depends only on the trace's name, so that a trace is
# the same at every run.  The order of lines does not matter: replay sorts by
# time.

function draw() {
    state = (16807 * state) % 2147483647
    return state / 2147483647
}

function between(low, high) {
    return low + int(draw() * (high - low + 1))
}

# Writes an event other than a request.
function event(at_s, name, target, value) {
    printf "%.3f,%s,%s,%s,,,,,,,,\n", at_s * 1000, name, target, value
}

function request(at_s, caller, class, model, prompt, output, key,    adapter, prefix) {
    adapter = ""
    prefix = ""
    if (model ~ /^m/ && substr(model, 2) + 0 <= 15 && draw() < 0.5)
        adapter = model "-a" between(1, 5)
    if (model ~ /^m/ && draw() < 0.5)
        prefix = model "-p" between(1, 3)
    printf "%.3f,request,,,%s,%s,%s,%s,%s,%d,%d,%s\n", at_s * 1000, caller, \
        class, model, adapter, prefix, prompt, output, key
}

# Draws a word of a list, the first words more often when skew is above 0: with
# weights 1, 1/2^skew, 1/3^skew and so on.
function pick(list, skew,    words, count, sum, i, at) {
    count = split(list, words, " ")
    sum = 0
    for (i = 1; i <= count; i++)
        sum += 1 / i ^ skew
    at = draw() * sum
    for (i = 1; i <= count; i++) {
        at -= 1 / i ^ skew
        if (at <= 0)
            return words[i]
    }
    return words[count]
}

# Writes requests of a class from one second to another, at a rate that changes
# linearly from first to last requests a second.
function stream(from, to, first, last, class, models, skew,    at, rate, most, caller) {
    most = first > last ? first : last
    at = from
    while (most > 0) {
        at += -log(1 - draw()) / most
        if (at >= to)
            return
        rate = first + (last - first) * (at - from) / (to - from)
        if (draw() * most > rate)
            continue
        one(at, class, pick(models, skew), pick(callers[class], 0))
    }
}

# Writes a request with prompt and output sizes drawn for its class.
function one(at, class, model, caller) {
    keys++
    if (class == "advice" || class == "report")
        request(at, caller, class, model, between(200, 800), between(60, 180), "")
    else if (class == "lookup" || class == "recommendation")
        request(at, caller, class, model, between(50, 200), between(5, 25), "")
    else if (class == "booking")
        request(at, caller, class, "desk", 0, 1, "")
    else
        request(at, caller, class, class == "order" ? "orders" : "desk", 0, 1, \
            "k" keys)
}

# Writes a request and its repeat with the same key, as a caller sends it that
# received no response to the first.
function repeated(at, after, class, model, caller, key) {
    request(at, caller, class, model, 0, 1, key)
    request(at + after, caller, class, model, 0, 1, key)
}

function names(first, last, step,    i, list) {
    for (i = first; i <= last; i += step)
        list = list sprintf("%sm%02d", list == "" ? "" : " ", i)
    return list
}

function gwisg() {
    callers["advice"] = "caerdydd llanelli abertawe wrecsam bangor"
    callers["lookup"] = "quartermaster fitters"
    callers["order"] = "workshop"
    every = names(1, 15, 1)
    small = names(11, 15, 1)
}

function steppe() {
    callers["report"] = "bays-almaty bays-astana"
    callers["recommendation"] = "fitters-almaty fitters-astana"
    callers["booking"] = "tablets-almaty tablets-astana"
    callers["deposit"] = "desk-almaty desk-astana"
    every = names(1, 21, 1)
    small = names(15, 21, 1)
}

# A normal evening at Gwisg.
function evening(seconds, advice, lookup) {
    stream(0, seconds, advice, advice, "advice", every, 0.8)
    stream(0, seconds, lookup, lookup, "lookup", small, 0.5)
    stream(0, seconds, 0.5, 0.5, "order", "orders", 0)
}

# A normal day in the bays.
function bays(seconds, report, recommendation) {
    stream(0, seconds, report, report, "report", every, 0.8)
    stream(0, seconds, recommendation, recommendation, "recommendation", \
        small, 0.5)
    stream(0, seconds, 1, 1, "booking", "desk", 0)
    stream(0, seconds, 0.5, 0.5, "deposit", "desk", 0)
}

# Advice arrives late at Cardiff's session.
function monday(    i, at) {
    gwisg()
    evening(600, 5, 5)
    for (i = 0; i < 900; i++) {
        at = 200 + draw() * 120
        one(at, "advice", "m07", "caerdydd")
    }
}

# A hem order is executed twice: callers repeat requests that got no response,
# while an entry host and an order worker crash and the key-value store is
# unavailable for some time.
function thursday(    i) {
    gwisg()
    evening(300, 4, 5)
    for (i = 0; i < 120; i++)
        repeated(20 + i * 2 + draw(), 0.05 + draw() * 3, "order", "orders", \
            "workshop", "hem-" i)
    event(60, "entry-down", "e1", "")
    event(90, "entry-up", "e1", "")
    event(100, "down", "o01", "")
    event(160, "up", "o01", "")
    event(180, "kv-down", "", "")
    event(200, "kv-up", "", "")
}

# Lookups are lost during a rehearsal: a worker and an entry host crash.
function saturday() {
    gwisg()
    evening(400, 4, 12)
    event(120, "down", "w11", "")
    event(121, "entry-down", "e3", "")
    event(200, "entry-up", "e3", "")
    event(240, "up", "w11", "")
}

# Reports of every model while workers are slow to start.
function late_report() {
    steppe()
    bays(600, 8, 4)
    event(150, "slow", "w03", 3)
    event(300, "slow", "w03", 1)
}

# Bookings while a desk worker and an entry host crash.
function lost_booking() {
    steppe()
    bays(300, 4, 4)
    stream(0, 300, 8, 8, "booking", "desk", 0)
    event(100, "down", "d01", "")
    event(140, "entry-down", "e2", "")
    event(170, "entry-up", "e2", "")
    event(200, "up", "d01", "")
}

# Deposits repeated by the tablets that sent them, while a worker crashes.
function doubled_deposit(    i) {
    steppe()
    bays(300, 4, 4)
    for (i = 0; i < 150; i++)
        repeated(10 + i * 1.8 + draw(), 0.05 + draw() * 2, "deposit", "desk", \
            pick(callers["deposit"], 0), "dep-" i)
    event(80, "down", "d02", "")
    event(120, "up", "d02", "")
    event(150, "down", "d01", "")
    event(152, "down", "d02", "")
    event(170, "up", "d01", "")
    event(170, "up", "d02", "")
}

# Demand shifts tenfold from the odd models to the even ones within an hour.
function shift_hour(    i) {
    gwisg()
    stream(0, 3600, 8, 0.8, "advice", names(1, 15, 2), 0)
    stream(0, 3600, 0.8, 8, "advice", names(2, 14, 2), 0)
    stream(0, 3600, 3, 3, "lookup", small, 0.5)
}

# Demand shifts in the same way within two minutes.
function shift_two_minutes() {
    gwisg()
    stream(0, 300, 8, 8, "advice", names(1, 15, 2), 0)
    stream(0, 300, 0.8, 0.8, "advice", names(2, 14, 2), 0)
    stream(300, 420, 8, 0.8, "advice", names(1, 15, 2), 0)
    stream(300, 420, 0.8, 8, "advice", names(2, 14, 2), 0)
    stream(420, 900, 0.8, 0.8, "advice", names(1, 15, 2), 0)
    stream(420, 900, 8, 8, "advice", names(2, 14, 2), 0)
    stream(0, 900, 3, 3, "lookup", small, 0.5)
}

# One model gets 60 % of the requests.
function skew() {
    gwisg()
    stream(0, 600, 7.2, 7.2, "advice", "m07", 0)
    stream(0, 600, 4.8, 4.8, "advice", every, 0)
}

# Rehearsals begin: three bursts of 90 s with four times the normal load.
function bursts(    i) {
    steppe()
    bays(900, 3, 4)
    for (i = 0; i < 3; i++)
        stream(150 + i * 250, 240 + i * 250, 9, 9, "report", \
            names(3 + i * 5, 6 + i * 5, 1), 0)
}

# One worker is ten times slower for five minutes.
function slow_upstream() {
    gwisg()
    evening(700, 8, 6)
    event(150, "slow", "w06", 10)
    event(450, "slow", "w06", 1)
}

# One worker stops and restarts repeatedly.
function flapping(    i) {
    steppe()
    bays(600, 6, 5)
    for (i = 0; i < 10; i++) {
        event(100 + i * 40, "down", "w04", "")
        event(112 + i * 40, "up", "w04", "")
    }
}

# Responses of 1,000 tokens together with lookups of 10.
function mixed(    at) {
    gwisg()
    evening(600, 2, 12)
    at = 0
    while ((at += -log(1 - draw()) / 1.2) < 600)
        request(at, pick(callers["advice"], 0), "advice", pick(small, 0.5), \
            between(1000, 3000), between(500, 1000), "")
}

# Twice the load that can be served for ten minutes, with a load that can be
# served before and after.
function saturation() {
    gwisg()
    stream(0, 600, 18, 18, "advice", every, 0.5)
    stream(600, 1200, 44, 44, "advice", every, 0.5)
    stream(1200, 1500, 10, 10, "advice", every, 0.5)
    stream(0, 1500, 2, 2, "lookup", small, 0.5)
    # In the middle, one caller sends far more than its share of the requests.
    for (at = 600; at < 1200; at += 0.2)
        one(at, "advice", pick(every, 0.5), "bangor")
}

# Twelve workers restart at the same time without models, and requests ask for
# every model.
function store_contended(    i) {
    steppe()
    bays(500, 6, 4)
    for (i = 1; i <= 12; i++) {
        event(100, "down", sprintf("w%02d", i), "")
        event(103, "up", sprintf("w%02d", i), "")
    }
}

# The regions are disconnected from each other for three minutes.
function link_cut() {
    gwisg()
    evening(600, 7, 6)
    event(150, "link-down", "", "")
    event(330, "link-up", "", "")
}

# Three models get most requests; every other model gets one in 45 minutes.
function rare(    i, hour) {
    steppe()
    stream(0, 5400, 1.2, 1.2, "report", "m01 m08 m15", 0)
    stream(0, 5400, 0.5, 0.5, "recommendation", "m15", 0)
    for (hour = 0; hour < 2; hour++)
        for (i = 1; i <= 21; i++)
            if (i != 1 && i != 8 && i != 15)
                one(hour * 2700 + 100 + draw() * 2400, "report", \
                    sprintf("m%02d", i), pick(callers["report"], 0))
}

# A data centre fails: three workers, an order worker and two entry hosts.
function centre_lost(    i) {
    gwisg()
    evening(600, 5, 6)
    for (i = 6; i <= 8; i++) {
        event(200, "down", sprintf("w%02d", i), "")
        event(400, "up", sprintf("w%02d", i), "")
    }
    event(200, "down", "o02", "")
    event(400, "up", "o02", "")
    for (i = 4; i <= 5; i++) {
        event(200, "entry-down", "e" i, "")
        event(400, "entry-up", "e" i, "")
    }
}

BEGIN {
    state = 7
    for (i = 1; i <= length(trace); i++)
        state = (state * 131 + index("abcdefghijklmnopqrstuvwxyz-", \
            substr(trace, i, 1))) % 2147483647
    print "at_ms,event,target,value,caller,class,model,adapter,prefix," \
        "prompt_tokens,output_tokens,key"
    if (trace == "monday") monday()
    else if (trace == "thursday") thursday()
    else if (trace == "saturday") saturday()
    else if (trace == "late-report") late_report()
    else if (trace == "lost-booking") lost_booking()
    else if (trace == "doubled-deposit") doubled_deposit()
    else if (trace == "shift-hour") shift_hour()
    else if (trace == "shift-two-minutes") shift_two_minutes()
    else if (trace == "skew") skew()
    else if (trace == "bursts") bursts()
    else if (trace == "slow-upstream") slow_upstream()
    else if (trace == "flapping") flapping()
    else if (trace == "mixed") mixed()
    else if (trace == "saturation") saturation()
    else if (trace == "store-contended") store_contended()
    else if (trace == "link-cut") link_cut()
    else if (trace == "rare") rare()
    else if (trace == "centre-lost") centre_lost()
    else {
        print "no trace of this name: " trace > "/dev/stderr"
        exit 1
    }
}
