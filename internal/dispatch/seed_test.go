package dispatch

import _ "github.com/oleanderbend/oleanderbend/internal/fixedseed"
