package idempotency

import _ "github.com/oleanderbend/oleanderbend/internal/fixedseed"
