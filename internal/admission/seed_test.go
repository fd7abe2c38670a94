package admission

import _ "github.com/oleanderbend/oleanderbend/internal/fixedseed"
