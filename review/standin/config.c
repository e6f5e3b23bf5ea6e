/* The configuration of the cases, as the operator writes it. */

#include "config.h"

static const char form[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r-notes\",\"host\":\"studio.example\","
    "\"path_prefix\":\"/notes/\",\"type\":\"streaming\",\"timeout_ms\":12000,"
    "\"target_latency_ms\":400,\"priority\":1,\"service\":\"helper-llm\","
    "\"max_attempts\":2,\"sticky\":true,\"resumable\":true,"
    "\"target_gap_ms\":250},"
    "{\"name\":\"r-book\",\"host\":\"studio.example\","
    "\"path_prefix\":\"/book/\",\"type\":\"unsafe\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":400,\"priority\":2,\"service\":\"shop-desk\","
    "\"max_attempts\":1}],"
    "\"services\":[{\"name\":\"helper-llm\",\"health_path\":\"/healthz\","
    "\"max_connections\":230,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
    "\"slots\":32,\"kv_capacity\":127221,\"kv_bytes\":327680,"
    "\"link_mbps\":1100000.0,\"moves\":true,\"backups\":true,\"stride\":5,"
    "\"upper_limit\":12,\"host_mb\":130000.0,\"disk_mb\":400000.0,"
    "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":["
    "{\"name\":\"m0\",\"weights_mb\":34300.0,\"load_s\":2.0,\"adapters\":36,"
    "\"adapter_mb\":40.0,\"warm_s\":0.28,\"disk_s\":0.4},"
    "{\"name\":\"m1\",\"weights_mb\":72700.0,\"load_s\":4.2,\"adapters\":0,"
    "\"adapter_mb\":66.0,\"warm_s\":0.4,\"disk_s\":0.84}],"
    "\"weights_mb\":200000.0,\"adapter_slots\":8,\"loads_per_s\":3.1}},"
    "{\"name\":\"shop-desk\",\"health_path\":\"/healthz\","
    "\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

const char *
config_get(void)
{
    return form;
}
