"""How drawn tests draw."""

import hypothesis

#: The same examples in each run, however busy the machine is.
hypothesis.settings.register_profile(
    'repeatable',
    deadline=None,
    derandomize=True,
    database=None,
)
hypothesis.settings.load_profile('repeatable')
