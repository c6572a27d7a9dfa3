//! Formats and parses UTC date and time for form fields and pages.

const SECONDS_PER_DAY: u64 = 86_400;
/// Days of the 400 years after which the Gregorian calendar repeats.
const DAYS_PER_ERA: u64 = 146_097;
/// Days from 0000-03-01 to 1970-01-01.
const DAYS_TO_EPOCH: u64 = 719_468;
/// Last year that is accepted when a time is parsed.
const LAST_YEAR: u64 = 9_999;

/// Formats milliseconds since the Unix epoch in UTC, such as `2026-01-31 08:05:00`.
///
/// Milliseconds are added only if they are not zero, as in `2026-01-31 08:05:00.250`.
pub(super) fn format_utc(millis: u64) -> String {
    let seconds = millis / 1_000;
    let (year, month, day) = date_of(seconds / SECONDS_PER_DAY);
    let time = seconds % SECONDS_PER_DAY;
    let (hour, minute, second) = (time / 3_600, time / 60 % 60, time % 60);
    let text = format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}");
    match millis % 1_000 {
        0 => text,
        rest => format!("{text}.{rest:03}"),
    }
}

/// Parses a time in the format of [`format_utc`] to milliseconds since the Unix epoch. Date and time
/// may also be separated by `T`, seconds may be omitted and a `Z` may follow. Returns `None` if the
/// text has another format or the time does not exist.
pub(super) fn parse_utc(text: &str) -> Option<u64> {
    let text = text.trim().trim_end_matches('Z');
    let (date, time) = text.split_once(['T', ' '])?;
    let date = parse_numbers(date, '-')?;
    let (time, millis) = match time.split_once('.') {
        Some((time, rest)) if rest.len() == 3 => (time, rest.parse().ok()?),
        Some(_) => return None,
        None => (time, 0),
    };
    let mut time = parse_numbers(time, ':')?;
    if time.len() == 2 {
        time.push(0);
    }
    let ([year, month, day], [hour, minute, second]) = (date.as_slice(), time.as_slice()) else {
        return None;
    };
    if !(1970..=LAST_YEAR).contains(year) || *hour > 23 || *minute > 59 || *second > 59 {
        return None;
    }
    let days = days_of(*year, *month, *day)?;
    let seconds = days * SECONDS_PER_DAY + hour * 3_600 + minute * 60 + second;
    Some(seconds * 1_000 + millis)
}

fn parse_numbers(text: &str, separator: char) -> Option<Vec<u64>> {
    let parts = text.split(separator);
    parts.map(|part| part.parse().ok()).collect()
}

/// Number of days from the Unix epoch to a date; `None` if the date does not exist.
fn days_of(year: u64, month: u64, day: u64) -> Option<u64> {
    if !(1..=12).contains(&month) || day == 0 {
        return None;
    }
    // Years are counted from March, so that a leap day is the last day of its year.
    let year_from_march = if month <= 2 { year - 1 } else { year };
    let month_from_march = (month + 9) % 12;
    let era = year_from_march / 400;
    let year_of_era = year_from_march % 400;
    let day_of_year = (153 * month_from_march + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    let days = (era * DAYS_PER_ERA + day_of_era).checked_sub(DAYS_TO_EPOCH)?;
    (date_of(days) == (year, month, day)).then_some(days)
}

/// Year, month and day that are `days` days after the Unix epoch.
fn date_of(days: u64) -> (u64, u64, u64) {
    let days = days + DAYS_TO_EPOCH;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let leap_days = day_of_era / 1_460 + day_of_era / 146_096;
    let year_of_era = (day_of_era + day_of_era / 36_524 - leap_days) / 365;
    let year_start = 365 * year_of_era + year_of_era / 4 - year_of_era / 100;
    let day_of_year = day_of_era - year_start;
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
