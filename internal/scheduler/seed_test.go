package scheduler

import _ "github.com/oleanderbend/oleanderbend/internal/fixedseed"
