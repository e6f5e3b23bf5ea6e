#ifndef REVIEW_CONFIG_H
#define REVIEW_CONFIG_H

const char *config_get(void);

#endif
