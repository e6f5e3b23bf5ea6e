/* Frames between nodes: what is taken whole, what closes the connection. */

#include "wire/wire.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

/* One encoded frame of the given version, with or without a body. */
static GByteArray *
make_frame(uint32_t version, const char *from, bool body)
{
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Ping ping = WIRE(PING__INIT);
    struct ch_error error = {0};
    frame.version = version;
    frame.from = (char *)from;
    frame.id = 7;
    if (body) {
        frame.body_case = WIRE(FRAME__BODY_PING);
        frame.ping = &ping;
    }
    GByteArray *out = g_byte_array_new();
    g_assert_true(ch_wire_encode(&frame, out, &error));
    return out;
}

/* However the bytes are cut, the same frames come out. */
static void
test_cuts(void)
{
    GByteArray *one = make_frame(CH_WIRE_VERSION, "e01", true);
    GByteArray *bytes = g_byte_array_new();
    for (int i = 0; i < 3; i++) {
        g_byte_array_append(bytes, one->data, one->len);
    }
    for (guint step = 1; step <= bytes->len; step++) {
        struct ch_wire_decoder *decoder = ch_wire_decoder_new();
        struct ch_error error = {0};
        int frames = 0;
        for (guint at = 0; at < bytes->len; at += step) {
            ch_wire_decoder_feed(decoder, bytes->data + at,
                                 MIN(step, bytes->len - at));
            Chestnuthitch__Wire__Frame *frame = NULL;
            while ((frame = ch_wire_decoder_next(decoder, &error)) != NULL) {
                g_assert_cmpuint(frame->id, ==, 7);
                g_assert_cmpstr(frame->from, ==, "e01");
                ch_wire_frame_free(frame);
                frames++;
            }
        }
        g_assert_cmpint(error.code, ==, CH_OK);
        g_assert_cmpint(frames, ==, 3);
        ch_wire_decoder_free(decoder);
    }
    g_byte_array_free(one, TRUE);
    g_byte_array_free(bytes, TRUE);
}

/* A bad frame gives its code, and nothing is taken after it. */
static void
test_bad(void)
{
    GByteArray *version = make_frame(CH_WIRE_VERSION + 1, "e01", true);
    GByteArray *bodiless = make_frame(CH_WIRE_VERSION, "e01", false);
    GByteArray *nameless = make_frame(CH_WIRE_VERSION, "", true);
    GByteArray *good = make_frame(CH_WIRE_VERSION, "e01", true);
    const struct {
        const char *bytes;
        size_t length;
        enum ch_code code;
    } cases[] = {
        {"\xff\xff\xff\xff", 4, CH_FRAME_TOO_LARGE},
        {"\x00\x20\x00\x01", 4, CH_FRAME_TOO_LARGE},
        {"\x00\x00\x00\x02\xff\xff", 6, CH_FRAME_DAMAGED},
        {(const char *)version->data, version->len, CH_FRAME_VERSION},
        {(const char *)bodiless->data, bodiless->len, CH_FRAME_DAMAGED},
        {(const char *)nameless->data, nameless->len, CH_FRAME_DAMAGED},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_wire_decoder *decoder = ch_wire_decoder_new();
        struct ch_error error = {0};
        ch_wire_decoder_feed(decoder, cases[i].bytes, cases[i].length);
        g_assert_null(ch_wire_decoder_next(decoder, &error));
        g_assert_cmpint(error.code, ==, cases[i].code);
        ch_wire_decoder_feed(decoder, good->data, good->len);
        ch_error_clear(&error);
        g_assert_null(ch_wire_decoder_next(decoder, &error));
        g_assert_cmpint(error.code, ==, CH_FRAME_DAMAGED);
        ch_wire_decoder_free(decoder);
    }
    g_byte_array_free(version, TRUE);
    g_byte_array_free(bodiless, TRUE);
    g_byte_array_free(nameless, TRUE);
    g_byte_array_free(good, TRUE);
}

/* What the other end would refuse is not sent: out stays as it was. */
static void
test_too_large(void)
{
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__ConfigPush push = WIRE(CONFIG_PUSH__INIT);
    struct ch_error error = {0};
    GByteArray *out = g_byte_array_new();
    char *text = g_strnfill(CH_WIRE_MOST_BYTES, 'x');
    frame.from = (char *)"e01";
    frame.body_case = WIRE(FRAME__BODY_CONFIG_PUSH);
    frame.config_push = &push;
    push.text = text;
    g_assert_false(ch_wire_encode(&frame, out, &error));
    g_assert_cmpint(error.code, ==, CH_FRAME_TOO_LARGE);
    g_assert_cmpuint(out->len, ==, 0);
    g_free(text);
    g_byte_array_free(out, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/wire/cuts", test_cuts);
    g_test_add_func("/wire/bad", test_bad);
    g_test_add_func("/wire/too-large", test_too_large);
    return g_test_run();
}
