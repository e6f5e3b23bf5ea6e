/*
 * Tests frames between nodes: which are accepted, and which close the
 * connection.
 */

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

/* However the input is split, the same frames come out. */
static void
test_split_input(void)
{
    GByteArray *one = make_frame(CH_WIRE_VERSION, "e01", true);
    GByteArray *bytes = g_byte_array_new();
    for (int i = 0; i < 3; i++) {
        g_byte_array_append(bytes, one->data, one->len);
    }
    for (guint chunk_size = 1; chunk_size <= bytes->len; chunk_size++) {
        struct ch_wire_decoder *decoder = ch_wire_decoder_new();
        struct ch_error error = {0};
        int frames = 0;
        for (guint at = 0; at < bytes->len; at += chunk_size) {
            ch_wire_decoder_feed(decoder, bytes->data + at,
                                 MIN(chunk_size, bytes->len - at));
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

/* A bad frame gives its error code, and nothing is decoded after it. */
static void
test_bad_frames(void)
{
    GByteArray *version = make_frame(CH_WIRE_VERSION + 1, "e01", true);
    GByteArray *without_body = make_frame(CH_WIRE_VERSION, "e01", false);
    GByteArray *without_sender = make_frame(CH_WIRE_VERSION, "", true);
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
        {(const char *)without_body->data, without_body->len,
         CH_FRAME_DAMAGED},
        {(const char *)without_sender->data, without_sender->len,
         CH_FRAME_DAMAGED},
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
    g_byte_array_free(without_body, TRUE);
    g_byte_array_free(without_sender, TRUE);
    g_byte_array_free(good, TRUE);
}

/*
 * A frame that the receiver would reject is not encoded: out stays unchanged.
 */
static void
test_too_large(void)
{
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__ConfigPush push = WIRE(CONFIG_PUSH__INIT);
    struct ch_error error = {0};
    GByteArray *out = g_byte_array_new();
    char *text = g_strnfill(CH_WIRE_MAX_FRAME_BYTES, 'x');
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
    g_test_add_func("/wire/cuts", test_split_input);
    g_test_add_func("/wire/bad", test_bad_frames);
    g_test_add_func("/wire/too-large", test_too_large);
    return g_test_run();
}
