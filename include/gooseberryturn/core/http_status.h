#ifndef GOOSEBERRYTURN_CORE_HTTP_STATUS_H_
#define GOOSEBERRYTURN_CORE_HTTP_STATUS_H_

namespace gooseberryturn {

inline constexpr int kFirstHttpStatus = 100;
inline constexpr int kFirstFinalHttpStatus = 200;
inline constexpr int kLastHttpStatus = 599;

/// \brief True for a status of the five classes of HTTP; other numbers of three
/// digits are invalid. RFC 9110, section 15.
[[nodiscard]] constexpr bool IsHttpStatus(int status) noexcept {
  return status >= kFirstHttpStatus && status <= kLastHttpStatus;
}

/// \brief True for the status of an answer; one of an interim answer (1xx),
/// which comes before it, is not final.
[[nodiscard]] constexpr bool IsFinalHttpStatus(int status) noexcept {
  return IsHttpStatus(status) && status >= kFirstFinalHttpStatus;
}

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_HTTP_STATUS_H_
