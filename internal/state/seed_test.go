package state

import _ "github.com/oleanderbend/oleanderbend/internal/fixedseed"
