package placement

import _ "github.com/oleanderbend/oleanderbend/internal/fixedseed"
