#ifndef PU_SETTINGS_CHECKS_H
#define PU_SETTINGS_CHECKS_H

#include "settings/settings.h"

G_BEGIN_DECLS

/* pu_settings_check - adds a finding to F for each constraint between fields
   that S violates.  Used only in libplantainusher/settings.  */
void pu_settings_check (const pu_settings_t *s, pu_findings_t *f);

G_END_DECLS

#endif
